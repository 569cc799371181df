# A library of all sources of a folder, as objects, so that no registrar is dropped.
function(mulberryrudder_folder_library name folder)
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
  add_library(${name} OBJECT ${sources})
  target_link_libraries(${name} PUBLIC mulberryrudder_options)
endfunction()

# mulberryrudder_plugin(NAME <name> SETS <set>... SOURCES <file>... [LIBRARIES <target>...])
# A plug-in is an OBJECT library that enters itself into one or more plug-in sets;
# a program is the kernel plus the sets that it links.
function(mulberryrudder_plugin)
  cmake_parse_arguments(PARSE_ARGV 0 it "" "NAME" "SETS;SOURCES;LIBRARIES")
  add_library(${it_NAME} OBJECT ${it_SOURCES})
  target_link_libraries(${it_NAME} PUBLIC mulberryrudder_options ${it_LIBRARIES})
  foreach(set IN LISTS it_SETS)
    set_property(GLOBAL APPEND PROPERTY mulberryrudder_set_${set} ${it_NAME})
  endforeach()
endfunction()

# Links the plug-ins of the named sets, and the libraries that all of them need.
# Call it through cmake_language(DEFER) so that all sets are complete.
function(mulberryrudder_link_sets target)
  foreach(set IN LISTS ARGN)
    get_property(plugins GLOBAL PROPERTY mulberryrudder_set_${set})
    target_link_libraries(${target} PRIVATE ${plugins})
  endforeach()
endfunction()

# mulberryrudder_program(NAME <name> SETS <set>... LIBRARIES <target>... SOURCES <file>...)
function(mulberryrudder_program)
  cmake_parse_arguments(PARSE_ARGV 0 it "" "NAME" "SETS;LIBRARIES;SOURCES")
  add_executable(${it_NAME} ${it_SOURCES})
  target_link_libraries(${it_NAME} PRIVATE mulberryrudder_options mulberryrudder_core
    mulberryrudder_kernel ${it_LIBRARIES})
  cmake_language(EVAL CODE
    "cmake_language(DEFER DIRECTORY [[${CMAKE_SOURCE_DIR}]] CALL mulberryrudder_link_sets ${it_NAME} ${it_SETS})")
endfunction()

# mulberryrudder_test(NAME <name> LABELS <label>... SOURCES <file>... SETS <set>... LIBRARIES <target>...)
# A test program is a CppUnit runner over the sources; rapidcheck runs with a fixed seed.
function(mulberryrudder_test)
  cmake_parse_arguments(PARSE_ARGV 0 it "" "NAME;TIMEOUT" "LABELS;SETS;LIBRARIES;SOURCES")
  mulberryrudder_program(NAME ${it_NAME} SETS ${it_SETS}
    LIBRARIES mulberryrudder_test_support cppunit rapidcheck ${it_LIBRARIES}
    SOURCES ${it_SOURCES})
  add_test(NAME ${it_NAME} COMMAND ${it_NAME})
  if(NOT it_TIMEOUT)
    set(it_TIMEOUT 600)
  endif()
  set_tests_properties(${it_NAME} PROPERTIES LABELS "${it_LABELS}" TIMEOUT ${it_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
