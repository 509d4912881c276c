#ifndef KINGCUPDRIFT_API_API_H_
#define KINGCUPDRIFT_API_API_H_

/// @file
/// Public header of the HTTP API for callers: parses requests and formats
/// answers. Performs no I/O.

#include "kingcupdrift/api/answer_format.h"        // IWYU pragma: export
#include "kingcupdrift/api/base64.h"               // IWYU pragma: export
#include "kingcupdrift/api/body_slices.h"          // IWYU pragma: export
#include "kingcupdrift/api/completion_parser.h"    // IWYU pragma: export
#include "kingcupdrift/api/event_stream_parser.h"  // IWYU pragma: export
#include "kingcupdrift/api/problem_format.h"       // IWYU pragma: export
#include "kingcupdrift/api/request_headers.h"      // IWYU pragma: export
#include "kingcupdrift/api/resume_token.h"         // IWYU pragma: export

#endif  // KINGCUPDRIFT_API_API_H_
