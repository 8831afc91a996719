/* Shared by the files of libcaraway, not installed. */
#ifndef LIBCARAWAY_INTERNAL_H
#define LIBCARAWAY_INTERNAL_H

#include "libcaraway.h"

#endif
