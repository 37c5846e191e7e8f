# Adds the programs of the cases to the project's targets. The libraries are defined after this file is read,
# so the targets are added at the end of the project's own list.
function(add_review_programs)
    set(folder ${CMAKE_SOURCE_DIR}/review)
    add_library(review_world STATIC
        ${folder}/harness-2/saving_executor.cpp
        ${folder}/harness-2/world.cpp
        ${CMAKE_SOURCE_DIR}/soak/child_process.cpp
        ${CMAKE_SOURCE_DIR}/soak/deployment.cpp
        ${CMAKE_SOURCE_DIR}/soak/fault_proxy.cpp)
    target_include_directories(review_world PUBLIC ${folder}/harness-2)
    target_link_libraries(review_world PUBLIC standins)
    add_custom_target(review_cases)
    foreach(number RANGE 6 10)
        if(EXISTS ${folder}/${number}/scenario.cpp)
            add_executable(review-case-${number} ${folder}/${number}/scenario.cpp)
            target_link_libraries(review-case-${number} PRIVATE review_world)
            add_dependencies(review_cases review-case-${number})
        endif()
    endforeach()
endfunction()
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL add_review_programs)
