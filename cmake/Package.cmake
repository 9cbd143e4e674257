# Helpers for the workspace's packages. A package is a folder packages/<name> with public headers under
# include/dogwoodhall/<name>, sources under src, Criterion tests under tests and benchmarks under bench.

add_library(dogwoodhall_options INTERFACE)
target_compile_options(dogwoodhall_options INTERFACE -Wall -Wextra -Wpedantic -Werror
  # g++ 12 reports a mismatch inside awaitable_frame that is not there.
  -Wno-mismatched-new-delete)
target_compile_definitions(dogwoodhall_options INTERFACE BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED)
if(DOGWOODHALL_SANITIZE)
  # Undefined behaviour ends the process, since CTest does not show the output of tests that pass.
  target_compile_options(dogwoodhall_options INTERFACE -fsanitize=${DOGWOODHALL_SANITIZE}
    -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  target_link_options(dogwoodhall_options INTERFACE -fsanitize=${DOGWOODHALL_SANITIZE})
  # The thread sanitizer does not model the fences of Asio, which only add to orders that its mutexes give already.
  if(DOGWOODHALL_SANITIZE STREQUAL "thread")
    target_compile_options(dogwoodhall_options INTERFACE -Wno-tsan)
  endif()
endif()

# dogwoodhall_package(name DEPENDS targets...): library target dogwoodhall_<name> from src/*.cpp, except
# src/main.cpp, and one CTest entry for each tests/*Test.cpp.
function(dogwoodhall_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp src/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  set(target dogwoodhall_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    target_link_libraries(${target} PUBLIC dogwoodhall_options ${arg_DEPENDS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE dogwoodhall_options ${arg_DEPENDS})
  endif()
  file(GLOB tests CONFIGURE_DEPENDS tests/*Test.cpp)
  foreach(test ${tests})
    get_filename_component(stem ${test} NAME_WE)
    dogwoodhall_test(${stem} ${test} ${target})
  endforeach()
endfunction()

# dogwoodhall_test(name source libraries...): a Criterion program registered with CTest.
function(dogwoodhall_test name source)
  if(NOT DOGWOODHALL_TESTS)
    # Named, since packages set properties of it, but not built.
    add_executable(${name} EXCLUDE_FROM_ALL ${source})
    return()
  endif()
  add_executable(${name} ${source})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests/support)
  target_link_libraries(${name} PRIVATE ${ARGN} dogwoodhall_options PkgConfig::CRITERION)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "LSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/tests/support/lsan.supp")
endfunction()

# dogwoodhall_bench(name source libraries...): a program that prints measurements; built, never run by CTest.
function(dogwoodhall_bench name source)
  if(NOT DOGWOODHALL_TESTS)
    # Named, since packages set properties of it, but not built.
    add_executable(${name} EXCLUDE_FROM_ALL ${source})
    return()
  endif()
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE ${ARGN} dogwoodhall_options)
endfunction()
