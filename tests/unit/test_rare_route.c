/*
 * Simulated overload of seconds, without a network: routes of few calls beside a frequent one to the same
 * target.  Their latency objectives end later than those of the frequent calls, or after their own time.
 */
#include "mesh_sim.h"
#include "script.h"

enum { TIMEOUT_S = 120, FREQUENT = 0, PATIENT, BRIEF };

/*
 * One target of twelve slots, whose capacity is load 1, and twelve other proxies that callers send to as
 * well.  The callers of the rare routes do not repeat what was refused.
 */
static const mesh_load_t overload = {
	.services = {{.targets = {1}, .slots = 12, .speeds = {1}, .speed_count = 1},
		     {.targets = {3, 3, 3, 3}, .slots = 12, .speeds = {1}, .speed_count = 1}},
	.service_count = 2,
	.kinds = {[FREQUENT] = {"frequent", 0, 100, 120, 0.5, 400, 1000, 1, 0.1, 2, true, 0, 5000,
				MESH_NO_KIND, 0, 0, 0},
		  [PATIENT] = {"patient", 0, 1, 5, 0.5, 1000, 950, 1, 1, 0, true, 0, 500, MESH_NO_KIND, 0, 0,
			       1},
		  [BRIEF] = {"brief", 0, 1, 5, 0.5, 1000, 450, 1, 1, 0, true, 0, 500, MESH_NO_KIND, 0, 0, 1}},
	.kind_count = 3,
	.zone_count = 4,
	.zone_shares = {0.25, 0.25, 0.25, 0.25},
	.duration_ms = 60000};

/* How much less often a route may be served than one of lower priority (RULES, "Prices"). */
static const double priority_difference = 0.05;

static const double load_factors[] = {1.2, 1.5, 2, 3};

/* Checks that a rare route is answered as often as the frequent one of lower priority. */
static void check_rare_route(double load_factor, int kind)
{
	mesh_load_t load = overload;
	double frequent, rare;
	mesh_sim_t *sim;

	load.load = load_factor;
	sim = mesh_sim_run(&load, MESH_PRODUCT, "rare route");
	frequent = mesh_sim_answered_share(sim, FREQUENT);
	rare = mesh_sim_answered_share(sim, kind);
	mesh_sim_free(sim);
	ck_assert_msg(rare >= frequent - priority_difference,
		      "load %.1f: %.3f of %s, %.3f of the frequent calls", load_factor, rare,
		      overload.kinds[kind].name, frequent);
}

/* CONFIG: in an overload, calls that wait in a queue are taken back by their origins before their turn. */
START_TEST(test_rare_route_is_served_in_overload)
{
	check_rare_route(load_factors[_i], PATIENT);
}
END_TEST

/* CONFIG: in an overload, calls whose objective ends after their own time expire in a queue. */
START_TEST(test_rare_route_of_brief_callers_is_served_in_overload)
{
	check_rare_route(load_factors[_i], BRIEF);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("rare_route");
	TCase *tcase = tcase_create("rare_route");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_loop_test(tcase, test_rare_route_is_served_in_overload, 0, G_N_ELEMENTS(load_factors));
	tcase_add_loop_test(tcase, test_rare_route_of_brief_callers_is_served_in_overload, 0,
			    G_N_ELEMENTS(load_factors));
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
