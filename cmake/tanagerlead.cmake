# Adds the library tanagerlead_NAME from every source of its folder and links
# it to the libraries named after it.
function(tanagerlead_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(tanagerlead_${name} STATIC ${sources})
    target_include_directories(
        tanagerlead_${name} PUBLIC ${PROJECT_SOURCE_DIR}
                                   ${PROJECT_SOURCE_DIR}/include)
    target_link_libraries(tanagerlead_${name} PUBLIC ${ARGN} Threads::Threads)
endfunction()

# Adds the one test program of a library from tests/NAME/*.cpp. Set
# NAME_test_arguments to pass arguments to it.
function(tanagerlead_test name)
    file(GLOB sources CONFIGURE_DEPENDS
         ${PROJECT_SOURCE_DIR}/tests/${name}/*.cpp)
    add_executable(${name}_test ${PROJECT_SOURCE_DIR}/tests/main.cpp ${sources})
    target_link_libraries(${name}_test PRIVATE ${ARGN} PkgConfig::cpputest)
    # The detector's macros for new break standard headers; the address
    # sanitizer finds leaks instead.
    target_compile_definitions(
        ${name}_test PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    add_test(NAME ${name}_test COMMAND ${name}_test -v ${${name}_test_arguments})
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 120)
endfunction()
