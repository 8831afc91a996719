/* Bytes, memory and time of a feed and of a member table at the planned size; part of bench_feed. */
#ifndef FEED_CONTENTS_H
#define FEED_CONTENTS_H

/* Prints bytes and memory per proxy if each gets every record, and if it gets only those that select it. */
void bench_feed_selectors(void);

/* Prints memory and bytes of a member table and the processor time to fill and pack it, in us per endpoint. */
void bench_feed_members(void);

#endif
