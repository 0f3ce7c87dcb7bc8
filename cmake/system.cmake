# The global load balancer: gateways and control planes. Each package is a folder of its own with its own
# CMakeLists.txt, lowest first; a package links only packages named above it. The program of deploy/balancer.toml uses
# none of them, and they are built only where they are asked for.
option(DEWWEIR_SYSTEM "build the packages of the global load balancer" OFF)

if(DEWWEIR_SYSTEM)
  # dewweir_package(NAME [SOURCE...]) makes the library dewweir_NAME from files beside the caller's CMakeLists.txt.
  function(dewweir_package name)
    add_library(dewweir_${name} STATIC ${ARGN})
    target_include_directories(dewweir_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/include)
    target_compile_options(dewweir_${name} PRIVATE ${WARNINGS} -Werror)
  endfunction()

  # dewweir_package_tests(NAME [LIBRARY TARGET] SOURCE...) makes the Catch2 program NAME_tests for the package
  # dewweir_NAME, or for the library TARGET, and has ctest run it. Sources are named as in tests/NAME.
  function(dewweir_package_tests name)
    if(NOT DEWWEIR_TESTS)
      return()
    endif()
    cmake_parse_arguments(TESTS "" "LIBRARY" "" ${ARGN})
    if(NOT TESTS_LIBRARY)
      set(TESTS_LIBRARY dewweir_${name})
    endif()
    set(sources ${TESTS_UNPARSED_ARGUMENTS})
    list(TRANSFORM sources PREPEND ${CMAKE_SOURCE_DIR}/tests/${name}/)
    add_executable(${name}_tests ${CMAKE_SOURCE_DIR}/tests/catch_main.cpp ${sources})
    target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name}_tests PRIVATE ${TESTS_LIBRARY})
    target_compile_options(${name}_tests PRIVATE ${WARNINGS} -Werror)
    add_test(NAME ${name} COMMAND ${name}_tests)
  endfunction()

  if(DEWWEIR_TESTS)
    enable_testing()
  endif()

  # The reader of HTTP messages lies in a library that the packages share with the program of deploy/balancer.toml.
  dewweir_package_tests(http LIBRARY dewweir_net reader.cpp smuggling.cpp)

  add_subdirectory(src/storage)
  add_subdirectory(src/quota)
  add_subdirectory(src/consensus)
  add_subdirectory(src/settings)
  add_subdirectory(src/configuration)
  add_subdirectory(src/logging)
  add_subdirectory(src/runtime)
  add_subdirectory(src/wire)
  add_subdirectory(src/process)
  add_subdirectory(src/transport)
  add_subdirectory(src/api)
  add_subdirectory(src/distribution)
  add_subdirectory(src/control)
  add_subdirectory(src/control_plane)
  add_subdirectory(src/gateway)
  add_subdirectory(src/explain)
  add_subdirectory(src/program)
  add_subdirectory(src/capacity_world)

  if(DEWWEIR_TESTS)
    add_subdirectory(tests/fuzz)
  endif()
endif()

# Tests of the whole system over real processes on loopback addresses, after all packages: they need the program.
if(DEWWEIR_SYSTEM AND DEWWEIR_TESTS)
  find_package(Python3 3.11 COMPONENTS Interpreter REQUIRED)
  set(SYSTEM_TESTS ${CMAKE_SOURCE_DIR}/tests/system)
  add_test(NAME system_judge COMMAND ${Python3_EXECUTABLE} ${SYSTEM_TESTS}/judge_test)
  add_test(NAME capacity_slopes COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/capacity/slopes_test)
  if(TARGET dewweir_system)
    add_test(NAME whole_path COMMAND ${Python3_EXECUTABLE} ${SYSTEM_TESTS}/whole_path $<TARGET_FILE:dewweir_system>)
  else()
    # Without the program its stand-in shows that the test world itself is sound.
    add_test(NAME whole_path COMMAND ${Python3_EXECUTABLE} ${SYSTEM_TESTS}/whole_path ${SYSTEM_TESTS}/fake/dewweir)
  endif()
  set_tests_properties(whole_path PROPERTIES TIMEOUT 75 RUN_SERIAL ON)
  if(TARGET dewweir_system)
    foreach(name leaving_gateway leaving_hosts_far_platform leaving_hosts_stalled_gateway
        refusal_of_an_earlier_attempt region_without_gateways
        route_without_time)
      add_test(NAME ${name} COMMAND ${Python3_EXECUTABLE} ${SYSTEM_TESTS}/${name} $<TARGET_FILE:dewweir_system>)
      set_tests_properties(${name} PROPERTIES TIMEOUT 75 RUN_SERIAL ON)
    endforeach()
    add_test(NAME soak
      COMMAND ${Python3_EXECUTABLE} ${SYSTEM_TESTS}/soak $<TARGET_FILE:dewweir_system> --seeds 1:3)
    set_tests_properties(soak PROPERTIES TIMEOUT 180 RUN_SERIAL ON)
    add_test(NAME packages
      COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/packages/listed ${CMAKE_BINARY_DIR})
    set_tests_properties(packages PROPERTIES TIMEOUT 120)
    foreach(name operator_commands page_examples)
      add_test(NAME ${name}
        COMMAND ${Python3_EXECUTABLE} ${CMAKE_SOURCE_DIR}/tests/program/${name} $<TARGET_FILE:dewweir_system>)
      set_tests_properties(${name} PROPERTIES TIMEOUT 75 RUN_SERIAL ON)
    endforeach()
  endif()
endif()
