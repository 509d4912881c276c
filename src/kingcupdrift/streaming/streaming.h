#ifndef KINGCUPDRIFT_STREAMING_STREAMING_H_
#define KINGCUPDRIFT_STREAMING_STREAMING_H_

/// @file
/// Public header of exact stream assembly, resumption and failover.

#include "kingcupdrift/streaming/reassembler.h"     // IWYU pragma: export
#include "kingcupdrift/streaming/stream_session.h"  // IWYU pragma: export

#endif  // KINGCUPDRIFT_STREAMING_STREAMING_H_
