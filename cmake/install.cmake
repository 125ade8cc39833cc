# Installation and the CMake package, so that others can embed the layers.

include(CMakePackageConfigHelpers)

install(
  TARGETS yuccamoor_state yuccamoor_coordination
  EXPORT yuccamoor-targets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY include/yuccamoor/state include/yuccamoor/coordination
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/yuccamoor)
install(
  EXPORT yuccamoor-targets
  NAMESPACE yuccamoor::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/yuccamoor)
configure_package_config_file(
  cmake/yuccamoor-config.cmake.in yuccamoor-config.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/yuccamoor)
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/yuccamoor-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/yuccamoor-config.cmake
              ${PROJECT_BINARY_DIR}/yuccamoor-config-version.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/yuccamoor)
