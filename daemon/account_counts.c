/* Counts of the calls and tokens of each client account. */
#include "account_counts.h"

enum {
	MAX_ACCOUNTS = 10000, /* with counts of their own; an account is not forgotten when it is removed */
	MAX_REPLIED = 1000    /* in a reply to an operator */
};

/* The counts of an account; id is 0 for those of all accounts for which there is no space. */
typedef struct {
	uint64_t id;
	char *name; /* never freed, so that copies can refer to it */
	uint64_t taken, answered, granted;
	uint32_t refused[CW_REASON_COUNT];
} counts_t;

static GMutex mutex;	   /* of what follows */
static GHashTable *counts; /* account id -> counts_t; NULL: none yet */
static counts_t others = {.name = ""};

/* Returns the counts of an account, created if there is space; the mutex is held. */
static counts_t *get_counts(const view_account_t *account)
{
	counts_t *found;

	if (!counts)
		counts = g_hash_table_new(g_int64_hash, g_int64_equal);
	found = g_hash_table_lookup(counts, &account->id);
	if (found)
		return found;
	if (g_hash_table_size(counts) >= MAX_ACCOUNTS)
		return &others;
	found = g_new0(counts_t, 1);
	found->id = account->id;
	found->name = g_strdup(account->name);
	g_hash_table_insert(counts, &found->id, found);
	return found;
}

/* Counts a call that a caller with the account's key has sent; NULL, for a call without one, is ignored. */
void account_counts_taken(const view_account_t *account)
{
	if (!account)
		return;
	g_mutex_lock(&mutex);
	get_counts(account)->taken++;
	g_mutex_unlock(&mutex);
}

/* Counts the end of a call: answered if the reason is CW_REASON_NONE, or else refused or failed; NULL is ignored. */
void account_counts_ended(const view_account_t *account, cw_reason_t reason)
{
	if (!account)
		return;
	g_mutex_lock(&mutex);
	if (reason == CW_REASON_NONE)
		get_counts(account)->answered++;
	else if (reason < CW_REASON_COUNT)
		get_counts(account)->refused[reason]++;
	g_mutex_unlock(&mutex);
}

/* Counts tokens that this proxy has granted as an owner of the account. */
void account_counts_granted(const view_account_t *account, uint32_t tokens)
{
	g_mutex_lock(&mutex);
	get_counts(account)->granted += tokens;
	g_mutex_unlock(&mutex);
}

/* Orders accounts by calls, the most first, then by tokens and name (GCompareFunc). */
static gint compare_counts(gconstpointer a, gconstpointer b)
{
	const counts_t *first = a;
	const counts_t *second = b;

	if (first->taken != second->taken)
		return first->taken > second->taken ? -1 : 1;
	if (first->granted != second->granted)
		return first->granted > second->granted ? -1 : 1;
	return g_strcmp0(first->name, second->name);
}

/* Returns the counts of an account in message form. */
static Caraway__AccountCounts *message_of(const counts_t *account)
{
	Caraway__AccountCounts *message = g_new(Caraway__AccountCounts, 1);

	caraway__account_counts__init(message);
	message->name = g_strdup(account->name);
	message->taken = account->taken;
	message->answered = account->answered;
	message->granted = account->granted;
	message->refused = cw_message_array(CW_REASON_COUNT);
	for (int i = 0; i < CW_REASON_COUNT; i++) {
		Caraway__Counter *counter;

		if (!account->refused[i])
			continue;
		counter = g_new(Caraway__Counter, 1);
		caraway__counter__init(counter);
		counter->name = g_strdup(cw_reason_name((cw_reason_t)i));
		counter->value = account->refused[i];
		message->refused[message->n_refused++] = counter;
	}
	return message;
}

/* Returns a copy of all counts, without order. */
static GArray *copy_counts(void)
{
	GArray *copies = g_array_new(FALSE, FALSE, sizeof(counts_t));
	GHashTableIter iter;
	gpointer account;

	g_mutex_lock(&mutex);
	if (counts) {
		g_hash_table_iter_init(&iter, counts);
		while (g_hash_table_iter_next(&iter, NULL, &account))
			g_array_append_vals(copies, account, 1);
	}
	if (others.taken || others.granted)
		g_array_append_val(copies, others);
	g_mutex_unlock(&mutex);
	return copies;
}

/*
 * Adds the accounts with most calls to a reply to an operator.  It works on a copy, so that calls do not wait
 * until the accounts are sorted.
 */
void account_counts_fill(Caraway__OperatorReply *reply)
{
	g_autoptr(GArray) copies = copy_counts();
	guint replied = MIN(copies->len, MAX_REPLIED);

	g_array_sort(copies, compare_counts);
	reply->accounts = cw_message_array(replied);
	for (guint i = 0; i < replied; i++)
		reply->accounts[reply->n_accounts++] = message_of(&g_array_index(copies, counts_t, i));
}
