# Compiler flags shared by every target and the helpers that declare targets.

add_library(yuccamoor_flags INTERFACE)
target_compile_options(yuccamoor_flags INTERFACE -Wall -Wextra -Wpedantic
                                                 -Wshadow)
# GCC 12 reports it on coroutine frames of Asio's, which have their own pair of
# operators.
target_compile_options(yuccamoor_flags INTERFACE -Wno-mismatched-new-delete)
if(YUCCAMOOR_WERROR)
  target_compile_options(yuccamoor_flags INTERFACE -Werror)
endif()
if(YUCCAMOOR_SANITIZE)
  target_compile_options(
    yuccamoor_flags INTERFACE -fsanitize=${YUCCAMOOR_SANITIZE}
                              -fno-omit-frame-pointer)
  target_link_options(yuccamoor_flags INTERFACE
                      -fsanitize=${YUCCAMOOR_SANITIZE})
  # GCC reports false positives for these under the sanitizers.
  target_compile_options(yuccamoor_flags INTERFACE -Wno-maybe-uninitialized
                                                   -Wno-tsan)
endif()

# yuccamoor_layer(<layer> <lower layer or ""> ...)
#
# Declares the library of one layer from every source below lib/<layer>. A
# layer links only the layer below it, so that an include upwards fails.
function(yuccamoor_layer LAYER)
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS
       ${PROJECT_SOURCE_DIR}/lib/${LAYER}/*.cc)
  add_library(yuccamoor_${LAYER} STATIC ${SOURCES})
  add_library(yuccamoor::${LAYER} ALIAS yuccamoor_${LAYER})
  set_target_properties(yuccamoor_${LAYER} PROPERTIES EXPORT_NAME ${LAYER})
  target_include_directories(
    yuccamoor_${LAYER}
    PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_compile_features(yuccamoor_${LAYER} PUBLIC cxx_std_20)
  target_link_libraries(yuccamoor_${LAYER} PRIVATE $<BUILD_INTERFACE:yuccamoor_flags>)
endfunction()

# yuccamoor_tool(<name>)
#
# Declares one program from every source in the current folder.
function(yuccamoor_tool NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cc)
  add_executable(${NAME} ${SOURCES})
  target_link_libraries(${NAME} PRIVATE yuccamoor::transport yuccamoor_flags)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                                           ${PROJECT_BINARY_DIR}/bin)
endfunction()

# yuccamoor_test(<name> LAYER <layer> [LABEL <label>] [SERIAL] SOURCES ...
#                [LIBS ...])
#
# Declares one Catch2 program and registers each of its test cases with CTest
# under one label: the layer's name unless another is given. SERIAL tests run
# while no other test does.
function(yuccamoor_test NAME)
  cmake_parse_arguments(ARG "SERIAL" "LAYER;LABEL" "SOURCES;LIBS" ${ARGN})
  if(NOT ARG_LABEL)
    set(ARG_LABEL ${ARG_LAYER})
  endif()
  set(SERIAL FALSE)
  if(ARG_SERIAL)
    set(SERIAL TRUE)
  endif()
  add_executable(${NAME} ${ARG_SOURCES})
  target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/unittests)
  target_link_libraries(${NAME} PRIVATE yuccamoor::${ARG_LAYER} ${ARG_LIBS}
                                        yuccamoor_test_main yuccamoor_flags)
  catch_discover_tests(${NAME} PROPERTIES LABELS ${ARG_LABEL} TIMEOUT 1800
                       RUN_SERIAL ${SERIAL} DISCOVERY_MODE PRE_TEST)
endfunction()
