# kcd_library(NAME DEPS ...): adds a static library from src/kingcupdrift/NAME, or
# an interface library if that folder has no sources.
function(kcd_library name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_SOURCE_DIR}/src/kingcupdrift/${name}/*.cc)
  if(sources)
    add_library(kcd_${name} STATIC ${sources})
    target_include_directories(kcd_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(kcd_${name} PUBLIC ${ARG_DEPS})
  else()
    add_library(kcd_${name} INTERFACE)
    target_include_directories(kcd_${name} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(kcd_${name} INTERFACE ${ARG_DEPS})
  endif()
endfunction()

# kcd_program(NAME FOLDER DEPS ...): adds an executable from the sources in FOLDER,
# if there are any.
function(kcd_program name folder)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cc)
  if(sources)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src
                                               ${CMAKE_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARG_DEPS})
  endif()
endfunction()

# kcd_platform(): adds the adapter to the users' platform, from platform/.
function(kcd_platform)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/platform/*.cc)
  add_library(kcd_platform STATIC ${sources})
  target_include_directories(kcd_platform PUBLIC ${CMAKE_SOURCE_DIR})
  target_link_libraries(kcd_platform PUBLIC kcd_forwarding kcd_net PRIVATE absl::strings)
endfunction()

# kcd_fakes(): adds a library without I/O from tests/fakes/*.cc (models driven by a
# clock) and, from tests/fakes/standin/*.cc, the program that serves them over
# HTTP.
function(kcd_fakes)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/fakes/*.cc)
  add_library(kcd_fakes STATIC ${sources})
  target_include_directories(kcd_fakes PUBLIC ${CMAKE_SOURCE_DIR}/src
                                              ${CMAKE_SOURCE_DIR})
  target_link_libraries(kcd_fakes PUBLIC kcd_entry)
  kcd_program(kingcupdrift_standin tests/fakes/standin DEPS kcd_fakes kcd_net
              absl::flags absl::flags_parse)
endfunction()

# kcd_add_doctest(NAME LIMIT_SECONDS): runs the doctest program kcd_NAME_test as the
# test NAME, or as the tests NAME_part_1 and so on, which can run at the same time.
# The limit is that of each test.
function(kcd_add_doctest name limit_seconds)
  # The number of parts of the programs that run for minutes.
  set(parts_forwarding 24)
  if(NOT parts_${name})
    add_test(NAME ${name} COMMAND kcd_${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT ${limit_seconds})
    return()
  endif()
  foreach(part RANGE 1 ${parts_${name}})
    add_test(NAME ${name}_part_${part}
             COMMAND ${CMAKE_SOURCE_DIR}/scripts/test_part
                     $<TARGET_FILE:kcd_${name}_test> ${part} ${parts_${name}})
    set_tests_properties(${name}_part_${part} PROPERTIES
                         TIMEOUT ${limit_seconds})
  endforeach()
  add_test(NAME ${name}_parts
           COMMAND ${CMAKE_SOURCE_DIR}/tests/process/test_parts
                   $<TARGET_FILE:kcd_${name}_test> ${parts_${name}})
endfunction()

# kcd_tests(): adds a doctest program kcd_FOLDER_test for each folder of tests/ that
# has tests.
function(kcd_tests)
  file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true
       ${CMAKE_SOURCE_DIR}/tests/*)
  foreach(folder ${folders})
    get_filename_component(name ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*_test.cc
         ${folder}/*_harness.cc)
    if(IS_DIRECTORY ${folder} AND sources)
      add_executable(kcd_${name}_test ${sources}
                     ${CMAKE_SOURCE_DIR}/tests/doctest_main.cc)
      target_include_directories(kcd_${name}_test PRIVATE
                                 ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
      target_link_libraries(kcd_${name}_test PRIVATE kcd_fakes kcd_net kcd_cli
                            kcd_forwarding kcd_platform doctest::doctest PkgConfig::LUA
                            ${RAPIDCHECK_LIBRARY})
      target_compile_definitions(kcd_${name}_test PRIVATE
        KINGCUPDRIFT_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
        KINGCUPDRIFT_BINARY_DIR="${CMAKE_BINARY_DIR}")
      set(limit_seconds 300)
      if(KINGCUPDRIFT_SANITIZE)
        # Sanitizers slow the random walks down several times.
        set(limit_seconds 1200)
      endif()
      kcd_add_doctest(${name} ${limit_seconds})
      if(name STREQUAL net)
        # Its calls have time limits in real time, and some take processor time.
        set_tests_properties(net PROPERTIES RUN_SERIAL ON)
      endif()
    endif()
  endforeach()
endfunction()

# kcd_process_tests(): adds the tests with real processes, the scripts of
# tests/process/. Their argument is the folder of the built programs.
function(kcd_process_tests)
  foreach(topic bad_input kill stop platform_stop stop_under_work engine_answers
          odd_store_items endless_answers spoilt_answers client_leaves serve_leaves serve_crowd
          freeze freeze_under_work store_outage known_red)
    add_test(NAME process_${topic} COMMAND
             ${CMAKE_SOURCE_DIR}/tests/process/${topic} ${CMAKE_BINARY_DIR})
    set_tests_properties(process_${topic} PROPERTIES TIMEOUT 200 RUN_SERIAL ON)
  endforeach()
  kcd_client_crowd_tests()
endfunction()

# kcd_client_crowd_tests(): adds one test for each form of a crowd of clients at each
# listener that clients reach, and one for each form of clients inside the limits.
function(kcd_client_crowd_tests)
  set(forms chunks_unfinished one_chunk_unfinished length_unfinished
      unknown_route_unfinished chunk_size_endless chunk_extension_endless
      one_byte_chunks one_byte_pieces length_far_over chunk_far_over chunks_far_over
      trailers_endless head_endless head_line_endless bytes_behind_a_request
      requests_without_reading idle_connections heads_unfinished)
  foreach(listener callers readiness directory)
    foreach(form ${forms})
      set(name process_crowd_${form}_at_${listener})
      add_test(NAME ${name} COMMAND ${CMAKE_SOURCE_DIR}/tests/process/client_crowd
                                    ${CMAKE_BINARY_DIR} ${form} ${listener})
      set_tests_properties(${name} PROPERTIES TIMEOUT 200 RUN_SERIAL ON)
    endforeach()
  endforeach()
  foreach(form one_piece small_chunks slowly burst largest_head idle_connections)
    set(name process_calm_clients_${form})
    add_test(NAME ${name} COMMAND ${CMAKE_SOURCE_DIR}/tests/process/calm_clients
                                  ${CMAKE_BINARY_DIR} ${form})
    set_tests_properties(${name} PROPERTIES TIMEOUT 200 RUN_SERIAL ON)
  endforeach()
endfunction()

# kcd_benches(): adds a program bench_NAME for each folder bench/NAME.
function(kcd_benches)
  file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true
       ${CMAKE_SOURCE_DIR}/bench/*)
  foreach(folder ${folders})
    if(IS_DIRECTORY ${folder})
      get_filename_component(name ${folder} NAME)
      kcd_program(bench_${name} bench/${name} DEPS kcd_fakes kcd_net
                  benchmark::benchmark absl::flags absl::flags_parse)
    endif()
  endforeach()
endfunction()
