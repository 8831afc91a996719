/* Tests of how learners find the voters, and of the membership in the first entry of a term. */
#include <check.h>

#include "libcaraway.h"
#include "script.h"

enum {
	ELECTION_MS = 1000,
	AFTER_TIMEOUT_MS = 10000 /* later than any randomized election timeout */
};

/* Returns a replica of incarnation 1, which borrows the address. */
static Caraway__Replica make_replica(uint32_t id, const char *address)
{
	Caraway__Replica replica = CARAWAY__REPLICA__INIT;

	replica.id = id;
	replica.incarnation = 1;
	replica.address = (char *)address;
	return replica;
}

/* Returns a replica with one peer in its settings and the given persistent state. */
static cw_raft_t *new_raft(uint32_t id, const Caraway__Replica *peer, const cw_raft_stored_t *stored)
{
	const Caraway__Replica *const peers[] = {peer};
	const cw_raft_options_t options = {.id = id,
					   .incarnation = 1,
					   .address = "10.0.0.9:1",
					   .heartbeat_ms = 100,
					   .election_ms = ELECTION_MS,
					   .lease_ms = 700,
					   .max_append_bytes = 1000,
					   .replicas = peers,
					   .replica_count = 1};

	return cw_raft_new(&options, stored, 0);
}

/* Returns a log entry that holds a membership. */
static Caraway__Entry *membership_entry(const Caraway__Membership *membership)
{
	g_autoptr(GBytes) packed = cw_message_pack(&membership->base);
	Caraway__Entry entry = CARAWAY__ENTRY__INIT;
	gsize length;

	entry.index = 1;
	entry.term = 1;
	entry.kind = CARAWAY__ENTRY_KIND__ENTRY_MEMBERSHIP;
	entry.data.data = (uint8_t *)g_bytes_get_data(packed, &length);
	entry.data.len = length;
	return cw_message_copy(&entry.base);
}

/* Returns whether any action sends a message to an address. */
static bool sends_to(const cw_raft_actions_t *actions, const char *address)
{
	for (guint i = 0; i < actions->items->len; i++) {
		const cw_raft_action_t *action = &g_array_index(actions->items, cw_raft_action_t, i);

		if (action->type == CW_RAFT_AC_SEND && !g_strcmp0(action->address, address))
			return true;
	}
	return false;
}

/*
 * A learner whose settings list only another learner sends its join requests to
 * the voters in its log as well.  Otherwise a mesh whose seeds in the settings had
 * been replaced stayed without service after a power failure.
 */
START_TEST(test_learner_joins_via_voters_in_log)
{
	Caraway__Replica voter = make_replica(1, "10.0.0.1:1"), other_learner = make_replica(2, "10.0.0.2:1");
	Caraway__Replica *voters[] = {&voter};
	Caraway__Membership membership = CARAWAY__MEMBERSHIP__INIT;
	cw_raft_stored_t stored = {.term = 1};
	const cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	cw_raft_actions_t actions;
	cw_raft_t *raft;

	membership.n_voters = 1;
	membership.voters = voters;
	stored.entries = g_ptr_array_new_with_free_func(cw_message_free);
	g_ptr_array_add(stored.entries, membership_entry(&membership));
	raft = new_raft(9, &other_learner, &stored);
	cw_raft_actions_init(&actions);
	cw_raft_step(raft, &tick, AFTER_TIMEOUT_MS, &actions);
	ck_assert(sends_to(&actions, "10.0.0.1:1"));
	ck_assert(sends_to(&actions, "10.0.0.2:1"));
	cw_raft_actions_clear(&actions);
	cw_raft_free(raft);
	g_ptr_array_unref(stored.entries);
}
END_TEST

/* The first entry of a term holds the membership, so that learners have it in their logs. */
START_TEST(test_term_starts_with_membership)
{
	Caraway__Replica self = make_replica(9, "10.0.0.9:1");
	Caraway__Replica *voters[] = {&self};
	Caraway__Membership membership = CARAWAY__MEMBERSHIP__INIT;
	cw_raft_stored_t stored = {.term = 1};
	const cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	const cw_raft_action_t *append = NULL;
	cw_raft_actions_t actions;
	cw_raft_t *raft;

	membership.n_voters = 1;
	membership.voters = voters;
	stored.membership = &membership;
	stored.entries = g_ptr_array_new();
	raft = new_raft(9, &self, &stored);
	cw_raft_actions_init(&actions);
	cw_raft_step(raft, &tick, AFTER_TIMEOUT_MS, &actions);
	ck_assert_int_eq(cw_raft_role(raft), CW_RAFT_LEADER);
	for (guint i = 0; i < actions.items->len; i++)
		if (g_array_index(actions.items, cw_raft_action_t, i).type == CW_RAFT_AC_APPEND)
			append = &g_array_index(actions.items, cw_raft_action_t, i);
	ck_assert_ptr_nonnull(append);
	ck_assert_int_eq(((const Caraway__Entry *)append->entries->pdata[0])->kind,
			 CARAWAY__ENTRY_KIND__ENTRY_MEMBERSHIP);
	cw_raft_actions_clear(&actions);
	cw_raft_free(raft);
	g_ptr_array_unref(stored.entries);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("membership");
	TCase *tcase = tcase_create("membership");

	tcase_add_test(tcase, test_learner_joins_via_voters_in_log);
	tcase_add_test(tcase, test_term_starts_with_membership);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
