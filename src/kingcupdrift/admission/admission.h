#ifndef KINGCUPDRIFT_ADMISSION_ADMISSION_H_
#define KINGCUPDRIFT_ADMISSION_ADMISSION_H_

/// @file
/// Public header of admission: who may enter, who waits, in which order, and
/// when a refused caller should ask again. Nothing here performs I/O.

#include "kingcupdrift/admission/admission_controller.h"  // IWYU pragma: export
#include "kingcupdrift/admission/fair_queue.h"            // IWYU pragma: export

#endif  // KINGCUPDRIFT_ADMISSION_ADMISSION_H_
