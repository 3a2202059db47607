# Options that every target of the workspace is built with.
add_library(qp_options INTERFACE)
# GCC 12 inlines the operator new of Asio's coroutine frames but not their
# operator delete, and then reports the pair as mismatched.
target_compile_options(qp_options INTERFACE -Wall -Wextra -Werror -Wno-psabi
  $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_compile_definitions(qp_options INTERFACE BOOST_ASIO_NO_DEPRECATED CATCH_CONFIG_FAST_COMPILE)
target_link_libraries(qp_options INTERFACE Threads::Threads nlohmann_json::nlohmann_json)

# Adds the library qp_<name> from packages/<name>/src and, where
# packages/<name>/tests has files, its test program qp_<name>_tests.
function(qp_package name)
  cmake_parse_arguments(arg "" "" "DEPS;LIBS" ${ARGN})
  set(root ${CMAKE_CURRENT_SOURCE_DIR}/packages/${name})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${root}/src/*.cc)
  list(TRANSFORM arg_DEPS PREPEND qp_)
  if(sources)
    add_library(qp_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(qp_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(qp_${name} ${scope} ${root}/src)
  target_link_libraries(qp_${name} ${scope} qp_options ${arg_DEPS} ${arg_LIBS})

  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${root}/tests/*.cc)
  if(tests AND QP_TESTS)
    add_executable(qp_${name}_tests ${tests} ${CMAKE_SOURCE_DIR}/packages/testing/src/testing/catch_main.cc)
    target_include_directories(qp_${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/packages/testing/src ${root}/tests)
    target_compile_definitions(qp_${name}_tests PRIVATE QP_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(qp_${name}_tests PRIVATE qp_${name} qp_options rapidcheck caf_core)
    add_test(NAME ${name} COMMAND qp_${name}_tests)
    # RapidCheck draws from this fixed seed, so that a run can be repeated.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 900)
  endif()
endfunction()
