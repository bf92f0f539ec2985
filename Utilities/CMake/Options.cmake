# Compiler settings that every package links to.
add_library(ParsleycoveOptions INTERFACE)
target_compile_features(ParsleycoveOptions INTERFACE cxx_std_20)
# GCC 12 takes a coroutine frame's own operator new for a mismatch.
target_compile_options(
  ParsleycoveOptions INTERFACE -Wall -Wextra -Wpedantic -Werror
                               -Wno-missing-field-initializers
                               -Wno-mismatched-new-delete
)
target_compile_definitions(
  ParsleycoveOptions
  INTERFACE BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
            BOOST_ASIO_NO_DEPRECATED
)
target_include_directories(
  ParsleycoveOptions INTERFACE ${PROJECT_SOURCE_DIR}/Source
)
# Library headers are system headers, so that warnings stay our own.
target_include_directories(
  ParsleycoveOptions SYSTEM INTERFACE ${PROJECT_SOURCE_DIR}/Source/Wire/Generated
)
target_link_libraries(ParsleycoveOptions INTERFACE Threads::Threads)

set(PARSLEYCOVE_SANITIZE "" CACHE STRING "Sanitizers, as -fsanitize takes them")
if(PARSLEYCOVE_SANITIZE)
  target_compile_options(
    ParsleycoveOptions INTERFACE -fsanitize=${PARSLEYCOVE_SANITIZE}
                                 -fno-omit-frame-pointer -fno-sanitize-recover=all
  )
  target_link_options(
    ParsleycoveOptions INTERFACE -fsanitize=${PARSLEYCOVE_SANITIZE}
  )
endif()

# Adds one library package: add_parsleycove_package(Name SOURCES a.cxx DEPENDS B)
function(add_parsleycove_package aName)
  cmake_parse_arguments(PACKAGE "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${aName} STATIC ${PACKAGE_SOURCES})
  target_link_libraries(${aName} PUBLIC ParsleycoveOptions ${PACKAGE_DEPENDS})
endfunction()

# Adds one CppUTest program and registers it with CTest.
function(add_parsleycove_test aName)
  cmake_parse_arguments(TEST "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${aName} ${TEST_SOURCES})
  target_include_directories(${aName} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
  target_link_libraries(
    ${aName} PRIVATE ${TEST_DEPENDS} TestSupport CppUTest::CppUTest
  )
  add_test(NAME ${aName} COMMAND ${aName} -v)
endfunction()
