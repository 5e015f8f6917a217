# citronlug_add_plugin(NAME): adds an object library of the *.cpp files in the current directory, except tests.
# A plug-in is referenced only by its own static registration; the linker would drop its objects from a static library.
function(citronlug_add_plugin name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cpp")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  add_library(${name} OBJECT ${sources})
  target_link_libraries(${name} PRIVATE citronlug_headers citronlug_warnings)
  set_property(GLOBAL APPEND PROPERTY CITRONLUG_PLUGINS ${name})
endfunction()

# citronlug_add_subject(NAME): adds the library citronlug_NAME of the *.cpp files in the current directory, which holds the
# decision logic of one subject, and a test program for each *_test.cpp. The kernel links it.
function(citronlug_add_subject name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cpp")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  add_library(citronlug_${name} STATIC ${sources})
  target_link_libraries(citronlug_${name} PUBLIC citronlug_kernel PRIVATE citronlug_warnings)
  target_link_libraries(citronlug_kernel PUBLIC citronlug_${name})
  file(GLOB tests CONFIGURE_DEPENDS "*_test.cpp")
  foreach(source IN LISTS tests)
    get_filename_component(test "${source}" NAME_WE)
    citronlug_add_test(${test} "${source}" LIBRARIES citronlug_kernel)
    set_property(GLOBAL APPEND PROPERTY CITRONLUG_KERNEL_TESTS ${test})
  endforeach()
endfunction()

# citronlug_add_test(NAME SOURCES... [LIBRARIES ...]): adds a CppUTest program with the main() of tests_main.cpp.
# Without CITRONLUG_BUILD_TESTS it does nothing, so that the test libraries need not be installed.
function(citronlug_add_test name)
  if(NOT CITRONLUG_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "LIBRARIES" ${ARGN})
  add_executable(${name} ${arg_UNPARSED_ARGUMENTS} "${CMAKE_SOURCE_DIR}/src/libcitronlug/tests_main.cpp")
  target_link_libraries(${name} PRIVATE ${arg_LIBRARIES} citronlug_warnings rapidcheck CppUTest CppUTestExt)
  add_test(NAME ${name} COMMAND ${name} -v)
endfunction()

# citronlug_link_plugins(TARGET): links all plug-ins into a program.
function(citronlug_link_plugins target)
  if(NOT TARGET ${target})
    return() # test programs are missing without CITRONLUG_BUILD_TESTS
  endif()
  get_property(plugins GLOBAL PROPERTY CITRONLUG_PLUGINS)
  foreach(plugin IN LISTS plugins)
    target_link_libraries(${target} PRIVATE ${plugin})
  endforeach()
endfunction()
