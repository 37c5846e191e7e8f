# Read by CMake after the project's own targets when the build is configured by review/build-3.sh.
file(GLOB review3_sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/review/harness-3/*.cpp)
add_executable(review3 ${review3_sources} ${CMAKE_SOURCE_DIR}/soak/child_process.cpp
    ${CMAKE_SOURCE_DIR}/soak/fault_proxy.cpp)
target_link_libraries(review3 PRIVATE standins)
