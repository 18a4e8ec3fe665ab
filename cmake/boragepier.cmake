# Build rules shared by all packages: one target per library, tests beside the code.

find_package(Threads REQUIRED)
find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})
endif()

# boragepier_find(VAR NAME...): sets VAR to the library file, or stops the configuration.
function(boragepier_find VAR)
  find_library(${VAR} NAMES ${ARGN} REQUIRED)
endfunction()

boragepier_find(NGHTTP2_LIB nghttp2)
boragepier_find(LOG4CXX_LIB log4cxx)
boragepier_find(INIH_LIB inih)
boragepier_find(XXHASH_LIB xxhash)
boragepier_find(SODIUM_LIB sodium)
option(BORAGEPIER_TESTS "Build tests, stand-ins and measurement programs" ON)
if(BORAGEPIER_TESTS)
  boragepier_find(CPPUTEST_LIB CppUTest)
  boragepier_find(CPPUTEST_EXT_LIB CppUTestExt)
endif()

set(BORAGEPIER_SANITIZE "" CACHE STRING "Sanitizers for all targets: address,undefined or thread")

add_library(boragepier_options INTERFACE)
target_compile_options(boragepier_options INTERFACE -Wall -Wextra -Werror -Wpedantic)
target_include_directories(boragepier_options INTERFACE ${PROJECT_SOURCE_DIR})
target_link_libraries(boragepier_options INTERFACE Threads::Threads)
if(BORAGEPIER_SANITIZE)
  target_compile_options(boragepier_options INTERFACE
    -fsanitize=${BORAGEPIER_SANITIZE} -fno-omit-frame-pointer -Wno-error)
  target_link_options(boragepier_options INTERFACE -fsanitize=${BORAGEPIER_SANITIZE})
endif()

# boragepier_library(NAME [SOURCES...] [DEPS...]): a static library, or an interface library when it
# has headers only.
function(boragepier_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  if(ARG_SOURCES)
    add_library(${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(${NAME} PUBLIC boragepier_options ${ARG_DEPS})
  else()
    add_library(${NAME} INTERFACE)
    target_link_libraries(${NAME} INTERFACE boragepier_options ${ARG_DEPS})
  endif()
endfunction()

# boragepier_program(NAME SOURCES... DEPS...): an executable.
function(boragepier_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE boragepier_options ${ARG_DEPS})
endfunction()

# boragepier_test(NAME SOURCES... DEPS... [TIMEOUT s]): a CppUTest program registered with CTest.
function(boragepier_test NAME)
  if(NOT BORAGEPIER_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/testing/test_main.cc)
  target_link_libraries(${NAME} PRIVATE
    boragepier_options ${ARG_DEPS} ${CPPUTEST_LIB} ${CPPUTEST_EXT_LIB})
  # CppUTest's macros for "new" do not compile with standard headers that are included after them.
  target_compile_definitions(${NAME} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  add_test(NAME ${NAME} COMMAND ${NAME} -v)
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()

# boragepier_test_groups(NAME SOURCES... DEPS... GROUPS...): a CppUTest program of which each test
# group is a CTest test of its own, named NAME.GROUP.
function(boragepier_test_groups NAME)
  if(NOT BORAGEPIER_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;GROUPS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/testing/test_main.cc)
  target_link_libraries(${NAME} PRIVATE
    boragepier_options ${ARG_DEPS} ${CPPUTEST_LIB} ${CPPUTEST_EXT_LIB})
  foreach(GROUP ${ARG_GROUPS})
    add_test(NAME ${NAME}.${GROUP} COMMAND ${NAME} -v -sg ${GROUP})
    set_tests_properties(${NAME}.${GROUP} PROPERTIES TIMEOUT 120)
  endforeach()
endfunction()
