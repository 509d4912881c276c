#ifndef KINGCUPDRIFT_STREAMING_STREAMING_H_
#define KINGCUPDRIFT_STREAMING_STREAMING_H_

/// @file
/// Public header for reassembling streams exactly once and in order, for
/// resuming them and for failover.

#include "kingcupdrift/streaming/reassembler.h"     // IWYU pragma: export
#include "kingcupdrift/streaming/stream_session.h"  // IWYU pragma: export

#endif  // KINGCUPDRIFT_STREAMING_STREAMING_H_
