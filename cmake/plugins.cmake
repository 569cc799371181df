# mulberryrudder_folder_library(<name> <folder>)
# Adds an OBJECT library of all .cpp files in a folder. Objects are linked whole, whereas the
# linker drops the self-registering objects of a static library because nothing refers to them.
function(mulberryrudder_folder_library name folder)
  file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cpp)
  add_library(${name} OBJECT ${sources})
  target_link_libraries(${name} PUBLIC mulberryrudder_options)
endfunction()

# mulberryrudder_plugin(NAME <name> SETS <set>... SOURCES <file>... [LIBRARIES <target>...])
# Adds a plug-in as an OBJECT library and lists it in one or more plug-in sets. A program is
# the kernel plus the sets that it links.
function(mulberryrudder_plugin)
  cmake_parse_arguments(PARSE_ARGV 0 arg "" "NAME" "SETS;SOURCES;LIBRARIES")
  add_library(${arg_NAME} OBJECT ${arg_SOURCES})
  target_link_libraries(${arg_NAME} PUBLIC mulberryrudder_options ${arg_LIBRARIES})
  foreach(set IN LISTS arg_SETS)
    set_property(GLOBAL APPEND PROPERTY mulberryrudder_set_${set} ${arg_NAME})
  endforeach()
endfunction()

# mulberryrudder_link_sets(<target> <set>...)
# Links the plug-ins of the named sets, and the libraries that they need, to a target. Call it
# through cmake_language(DEFER), when every plug-in has been listed in its sets.
function(mulberryrudder_link_sets target)
  foreach(set IN LISTS ARGN)
    get_property(plugins GLOBAL PROPERTY mulberryrudder_set_${set})
    target_link_libraries(${target} PRIVATE ${plugins})
  endforeach()
endfunction()

# mulberryrudder_program(NAME <name> SETS <set>... LIBRARIES <target>... SOURCES <file>...)
# Adds an executable that links the kernel, the given libraries and the plug-ins of the sets.
function(mulberryrudder_program)
  cmake_parse_arguments(PARSE_ARGV 0 arg "" "NAME" "SETS;LIBRARIES;SOURCES")
  add_executable(${arg_NAME} ${arg_SOURCES})
  target_link_libraries(${arg_NAME} PRIVATE mulberryrudder_options mulberryrudder_core
    mulberryrudder_kernel ${arg_LIBRARIES})
  cmake_language(EVAL CODE
    "cmake_language(DEFER DIRECTORY [[${CMAKE_SOURCE_DIR}]] CALL mulberryrudder_link_sets ${arg_NAME} ${arg_SETS})")
endfunction()

# mulberryrudder_test(NAME <name> LABELS <label>... SOURCES <file>... SETS <set>... LIBRARIES <target>...
#                     [TIMEOUT <seconds>])
# Adds a CppUnit test program and registers it with CTest; the timeout defaults to 600 s.
# rapidcheck runs with a fixed seed.
function(mulberryrudder_test)
  cmake_parse_arguments(PARSE_ARGV 0 arg "" "NAME;TIMEOUT" "LABELS;SETS;LIBRARIES;SOURCES")
  mulberryrudder_program(NAME ${arg_NAME} SETS ${arg_SETS}
    LIBRARIES mulberryrudder_test_support cppunit rapidcheck ${arg_LIBRARIES}
    SOURCES ${arg_SOURCES})
  add_test(NAME ${arg_NAME} COMMAND ${arg_NAME})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 600)
  endif()
  set_tests_properties(${arg_NAME} PROPERTIES LABELS "${arg_LABELS}" TIMEOUT ${arg_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
