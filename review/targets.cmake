# Adds the program of the cases to the project's own build; review/build.sh passes this file to CMake.
set(REVIEW_DIRECTORY ${CMAKE_CURRENT_LIST_DIR})

function(add_review_cases)
    file(GLOB sources CONFIGURE_DEPENDS ${REVIEW_DIRECTORY}/harness/*.cpp)
    list(APPEND sources ${CMAKE_SOURCE_DIR}/soak/child_process.cpp)
    add_executable(review-case ${sources})
    target_link_libraries(review-case PRIVATE standins)
endfunction()

cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL add_review_cases)
