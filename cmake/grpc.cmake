# The messages of proto/, and marldale_grpc.so.
pkg_check_modules(GRPC IMPORTED_TARGET grpc++ protobuf openssl)
find_program(PROTOC protoc)
find_program(GRPC_CPP_PLUGIN grpc_cpp_plugin)
if(NOT (GRPC_FOUND AND PROTOC AND GRPC_CPP_PLUGIN))
  if(MARLDALE_GRPC STREQUAL "ON")
    message(FATAL_ERROR "MARLDALE_GRPC=ON needs grpc++, protobuf, openssl, protoc and grpc_cpp_plugin")
  endif()
  message(STATUS "gRPC front: not built (grpc++, protobuf, openssl, protoc or grpc_cpp_plugin is missing)")
  return()
endif()
set(MARLDALE_WITH_GRPC ON)

set(PROTO_OUT ${PROJECT_BINARY_DIR}/proto)
set(PROTO_SOURCES)
foreach(name common reports assignments peers)
  set(stem ${PROTO_OUT}/marldale/v1/${name})
  add_custom_command(
    OUTPUT ${stem}.pb.cc ${stem}.pb.h ${stem}.grpc.pb.cc ${stem}.grpc.pb.h
    COMMAND ${CMAKE_COMMAND} -E make_directory ${PROTO_OUT}
    COMMAND ${PROTOC} -I${PROJECT_SOURCE_DIR}/proto --cpp_out=${PROTO_OUT} --grpc_out=${PROTO_OUT}
            --plugin=protoc-gen-grpc=${GRPC_CPP_PLUGIN} marldale/v1/${name}.proto
    DEPENDS ${PROJECT_SOURCE_DIR}/proto/marldale/v1/common.proto ${PROJECT_SOURCE_DIR}/proto/marldale/v1/${name}.proto
    VERBATIM)
  list(APPEND PROTO_SOURCES ${stem}.pb.cc ${stem}.grpc.pb.cc)
endforeach()
add_library(marldale_proto STATIC ${PROTO_SOURCES})
target_include_directories(marldale_proto SYSTEM PUBLIC ${PROTO_OUT})
target_compile_options(marldale_proto PRIVATE -w)
target_link_libraries(marldale_proto PUBLIC PkgConfig::GRPC)

add_library(marldale_grpc_front STATIC
  src/planner/grpc/assign_stream.cpp src/planner/grpc/convert.cpp src/planner/grpc/credentials.cpp src/planner/grpc/peer_links.cpp src/planner/grpc/peer_stream.cpp
  src/planner/grpc/report_stream.cpp
  src/planner/grpc/server.cpp)
target_include_directories(marldale_grpc_front PUBLIC clients/cpp)
target_link_libraries(marldale_grpc_front PUBLIC marldale_proto marldale_dispatch marldale_membership marldale_protocol)

# It brings its own copy of the few functions that it shares with the planner, so these are built to be loadable.
set_target_properties(marldale_proto marldale_grpc_front marldale_dispatch marldale_membership marldale_protocol
  marldale_wire marldale_policy PROPERTIES POSITION_INDEPENDENT_CODE ON)
add_library(marldale_grpc MODULE src/planner/grpc/module.cpp)
set_target_properties(marldale_grpc PROPERTIES PREFIX "" CXX_VISIBILITY_PRESET hidden VISIBILITY_INLINES_HIDDEN ON)
target_link_libraries(marldale_grpc PRIVATE marldale_grpc_front)
target_link_options(marldale_grpc PRIVATE -Wl,--exclude-libs,ALL)

# The client library, which knows the published protocol only.
add_library(marldale_client STATIC
  clients/cpp/marldale/assignments.cpp clients/cpp/marldale/load_reports.cpp clients/cpp/marldale/relay_tables.cpp)
target_include_directories(marldale_client PUBLIC clients/cpp)
target_link_libraries(marldale_client PUBLIC marldale_proto)
