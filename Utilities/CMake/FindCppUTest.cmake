# Finds CppUTest. Debian's own config file names a folder that does not exist.
find_path(CppUTest_INCLUDE_DIR CppUTest/TestHarness.h)
find_library(CppUTest_LIBRARY CppUTest)
include(FindPackageHandleStandardArgs)
find_package_handle_standard_args(
  CppUTest REQUIRED_VARS CppUTest_LIBRARY CppUTest_INCLUDE_DIR
)
if(CppUTest_FOUND AND NOT TARGET CppUTest::CppUTest)
  add_library(CppUTest::CppUTest UNKNOWN IMPORTED)
  set_target_properties(
    CppUTest::CppUTest
    PROPERTIES IMPORTED_LOCATION "${CppUTest_LIBRARY}"
               INTERFACE_INCLUDE_DIRECTORIES "${CppUTest_INCLUDE_DIR}"
  )
endif()
