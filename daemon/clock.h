/* The two clocks of a daemon, in milliseconds. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

int64_t clock_now_ms(void);	  /* monotonic */
int64_t clock_utc_ms(void);	  /* wall clock, since the epoch */
uint64_t clock_incarnation(void); /* rises from one start of a process to the next */

#endif
