/* Monotonic and wall clock time, in milliseconds. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

int64_t clock_now_ms(void);	  /* monotonic; includes time in suspend */
int64_t clock_utc_ms(void);	  /* wall clock: since the Unix epoch */
uint64_t clock_incarnation(void); /* greater than at any earlier start of the process */

#endif
