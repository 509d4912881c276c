#ifndef KINGCUPDRIFT_ADMISSION_ADMISSION_H_
#define KINGCUPDRIFT_ADMISSION_ADMISSION_H_

/// @file
/// Public header of admission control: which requests are admitted, in which
/// order they wait, and when a refused caller should retry. Nothing here
/// performs I/O.

#include "kingcupdrift/admission/admission_controller.h"  // IWYU pragma: export
#include "kingcupdrift/admission/fair_queue.h"            // IWYU pragma: export

#endif  // KINGCUPDRIFT_ADMISSION_ADMISSION_H_
