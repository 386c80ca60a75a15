# Defines the library magnolia_NAME from src/ and, where tests exist, the
# GoogleTest program magnolia_NAME_test from test/.
function(magnolia_package NAME)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER SOURCES EXCLUDE REGEX "/main\\.cpp$")
  if(SOURCES)
    add_library(magnolia_${NAME} STATIC ${SOURCES})
    target_include_directories(magnolia_${NAME} PUBLIC src)
    target_link_libraries(magnolia_${NAME} PUBLIC ${ARG_LIBRARIES})
  else()
    add_library(magnolia_${NAME} INTERFACE)
    target_include_directories(magnolia_${NAME} INTERFACE src)
    target_link_libraries(magnolia_${NAME} INTERFACE ${ARG_LIBRARIES})
  endif()
  file(GLOB_RECURSE TESTS CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
  if(TESTS AND MAGNOLIA_TESTS)
    add_executable(magnolia_${NAME}_test ${TESTS})
    target_include_directories(magnolia_${NAME}_test PRIVATE test)
    target_link_libraries(magnolia_${NAME}_test
                          PRIVATE magnolia_${NAME} GTest::gtest GTest::gmock
                                  GTest::gtest_main Threads::Threads)
    add_test(NAME ${NAME} COMMAND magnolia_${NAME}_test)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
  endif()
endfunction()
