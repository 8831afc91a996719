/* Account of the bytes that wait in this process. */
#include "memory_account.h"

#include <stdatomic.h>

static _Atomic size_t held[MEMORY_KINDS];
static _Atomic size_t limit;

/* Sets the number of bytes from which on the account is full. */
void memory_account_set_limit(size_t bytes)
{
	atomic_store_explicit(&limit, bytes, memory_order_relaxed);
}

/* Returns the number of bytes from which on the account is full; 0: it is never full. */
size_t memory_account_limit(void)
{
	return atomic_load_explicit(&limit, memory_order_relaxed);
}

/* Records that a holder now has this many bytes. */
void memory_share_set(memory_share_t *share, size_t bytes)
{
	if (bytes > share->bytes)
		atomic_fetch_add_explicit(&held[share->kind], bytes - share->bytes, memory_order_relaxed);
	else if (bytes < share->bytes)
		atomic_fetch_sub_explicit(&held[share->kind], share->bytes - bytes, memory_order_relaxed);
	share->bytes = bytes;
}

/* Returns the bytes of one kind. */
size_t memory_account_held_by(memory_kind_t kind)
{
	return atomic_load_explicit(&held[kind], memory_order_relaxed);
}

/* Returns the bytes of all kinds. */
size_t memory_account_held(void)
{
	size_t bytes = 0;

	for (int kind = 0; kind < MEMORY_KINDS; kind++)
		bytes += memory_account_held_by((memory_kind_t)kind);
	return bytes;
}

/* Returns whether no further bytes should be taken in. */
bool memory_account_is_full(void)
{
	size_t bytes = memory_account_limit();

	return bytes && memory_account_held() >= bytes;
}
