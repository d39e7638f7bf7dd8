# Helpers that give every target the same warnings, include path and naming.

# Designated initialisers leave members at their defaults on purpose, which -Wextra would report.
# GCC 12 reports false positives of the last two in optimised std::string and std::variant code.
set(BERYLPORT_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror
    -Wno-missing-field-initializers -Wno-restrict -Wno-maybe-uninitialized)

function(berylport_set_options target)
  target_compile_options(${target} PRIVATE ${BERYLPORT_WARNINGS})
  target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/Source)
endfunction()

# berylport_library(Name LIBRARIES ...): one static library from all sources of the current folder.
function(berylport_library name)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_library(Berylport${name} STATIC ${sources})
  berylport_set_options(Berylport${name})
  target_link_libraries(Berylport${name} PUBLIC ${ARG_LIBRARIES})
endfunction()

# berylport_program(name SOURCES ... LIBRARIES ...): one executable in bin/.
function(berylport_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  berylport_set_options(${name})
  target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
endfunction()

# berylport_tests(Name LIBRARIES ...): one GoogleTest executable from all sources of the current folder.
function(berylport_tests name)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name}Tests ${sources})
  berylport_set_options(${name}Tests)
  target_include_directories(${name}Tests PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${name}Tests PRIVATE ${ARG_LIBRARIES} ${RAPIDCHECK_LIBRARY} GTest::gtest GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name}Tests)
  # RapidCheck draws its cases from this fixed seed, so that every run checks the same ones.
  set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
