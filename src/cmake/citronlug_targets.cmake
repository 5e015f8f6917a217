# citronlug_add_plugin(NAME): an object library made of the *.cpp files of the current folder,
# without tests. Object libraries keep objects that only register themselves.
function(citronlug_add_plugin name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cpp")
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  add_library(${name} OBJECT ${sources})
  target_link_libraries(${name} PRIVATE citronlug_headers citronlug_warnings)
  set_property(GLOBAL APPEND PROPERTY CITRONLUG_PLUGINS ${name})
endfunction()

# citronlug_add_test(NAME SOURCES... [LIBRARIES ...]): a CppUTest program. tests_main.cpp has its main().
# Without CITRONLUG_BUILD_TESTS no test program is built, and none of the test libraries is needed.
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
    return() # a test program that is not built
  endif()
  get_property(plugins GLOBAL PROPERTY CITRONLUG_PLUGINS)
  foreach(plugin IN LISTS plugins)
    target_link_libraries(${target} PRIVATE ${plugin})
  endforeach()
endfunction()
