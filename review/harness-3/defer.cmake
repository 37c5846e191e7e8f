# The targets need the libraries of the project, which are declared after the call of project().
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
    ${CMAKE_SOURCE_DIR}/review/harness-3/targets.cmake)
