/* Checks the invariants of the mesh from what callers saw and what targets executed. */
#include "observer.h"

#include <stdio.h>
#include <string.h>

/* Executions of a request, and what its caller saw. */
typedef struct {
	int executions;
	bool unsafe;
	bool not_run;	   /* its caller got the outcome "not-run" */
	char *lost_answer; /* violation if the request was executed; see record_lost_answer(); owned */
} request_t;

/* Journal of a target: a file to which it appends the id of each request it executes; read incrementally. */
typedef struct {
	char *path;
	FILE *file; /* NULL until the file exists */
} journal_t;

/* The newest change that an incarnation of a proxy has served. */
typedef struct {
	int incarnation;
	int change;
	int64_t first_seen_ms; /* end of the first call that was served by this change */
} proxy_change_t;

struct soak_observer {
	cluster_t *cluster;
	soak_shared_t *shared;
	GHashTable *requests;	 /* id -> request_t */
	GPtrArray *journals;	 /* journal_t * */
	GPtrArray *lost_answers; /* request_t * with a lost_answer, owned by requests */
	GPtrArray *violations;	 /* char * */
	guint printed;		 /* number of violations printed */
	proxy_change_t newest_changes[SOAK_MAX_PROXIES]; /* by proxy */
	int64_t planned_since_ms;	  /* start of the period of planned work only; 0: none */
	guint results[CALL_NOT_SENT + 1]; /* number of calls by result */
	guint successes;		  /* calls with status 200 */
	guint refusals;			  /* calls with the outcome "not-run" */
};

/* Frees a request_t. */
static void free_request(gpointer data)
{
	request_t *request = data;

	g_free(request->lost_answer);
	g_free(request);
}

/* Closes and frees a journal_t. */
static void free_journal(gpointer data)
{
	journal_t *journal = data;

	if (journal->file)
		fclose(journal->file);
	g_free(journal->path);
	g_free(journal);
}

soak_observer_t *soak_observer_new(cluster_t *cluster, soak_shared_t *shared)
{
	soak_observer_t *observer = g_new0(soak_observer_t, 1);

	observer->cluster = cluster;
	observer->shared = shared;
	observer->requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_request);
	observer->journals = g_ptr_array_new_with_free_func(free_journal);
	observer->lost_answers = g_ptr_array_new();
	observer->violations = g_ptr_array_new_with_free_func(g_free);
	return observer;
}

void soak_observer_free(soak_observer_t *observer)
{
	g_ptr_array_free(observer->violations, TRUE);
	g_ptr_array_free(observer->lost_answers, TRUE);
	g_ptr_array_free(observer->journals, TRUE);
	g_hash_table_destroy(observer->requests);
	g_free(observer);
}

void soak_observer_add_target(soak_observer_t *observer, const char *proxy)
{
	journal_t *journal = g_new0(journal_t, 1);

	journal->path = cluster_target_journal(observer->cluster, proxy);
	g_ptr_array_add(observer->journals, journal);
}

void soak_observer_add_violation(soak_observer_t *observer, char *text)
{
	g_ptr_array_add(observer->violations, text);
}

/* Returns the request with an id, which is added when it is new. */
static request_t *get_request(soak_observer_t *observer, const char *id)
{
	request_t *request = g_hash_table_lookup(observer->requests, id);

	if (request)
		return request;
	request = g_new0(request_t, 1);
	g_hash_table_insert(observer->requests, g_strdup(id), request);
	return request;
}

/* Checks that an unsafe request was executed at most once, and one reported as not run never. */
static void check_request(soak_observer_t *observer, const char *id, const request_t *request)
{
	if (request->unsafe && request->executions > 1)
		soak_observer_add_violation(
			observer,
			g_strdup_printf("%s must be executed at most once and was executed %d times", id,
					request->executions));
	if (request->not_run && request->executions)
		soak_observer_add_violation(
			observer,
			g_strdup_printf("%s was executed although its caller got the outcome not-run", id));
}

/* Counts and checks the executions that a target has appended to its journal. */
static void read_journal(soak_observer_t *observer, journal_t *journal)
{
	char line[SOAK_ID_BYTES + 2];

	if (!journal->file)
		journal->file = fopen(journal->path, "re");
	if (!journal->file)
		return;
	clearerr(journal->file);
	while (fgets(line, sizeof(line), journal->file)) {
		request_t *request;

		g_strchomp(line);
		request = get_request(observer, line);
		request->executions++;
		check_request(observer, line, request);
	}
}

/* Checks that an incarnation of a proxy never reverts to an older change nor serves an unreviewed one. */
static void check_change_order(soak_observer_t *observer, const call_record_t *record)
{
	proxy_change_t *newest = &observer->newest_changes[record->proxy];

	if (record->change > record->reviewed_change)
		soak_observer_add_violation(
			observer, g_strdup_printf("change %d is in force at proxy %d before its review",
						  record->change, record->proxy));
	if (record->incarnation == SOAK_UNKNOWN_INCARNATION)
		return;
	if (newest->incarnation != record->incarnation)
		*newest = (proxy_change_t){.incarnation = record->incarnation};
	if (record->change > newest->change) {
		newest->change = record->change;
		newest->first_seen_ms = record->ended_ms;
	} else if (record->change < newest->change && record->sent_ms > newest->first_seen_ms) {
		soak_observer_add_violation(observer,
					    g_strdup_printf("proxy %d reverted from change %d to %d",
							    record->proxy, newest->change, record->change));
	}
}

/*
 * Records a call of a period of planned work that got neither a target's answer
 * nor the outcome "not-run".  If the end of the period finds it executed, its
 * answer was lost.
 */
static void record_lost_answer(soak_observer_t *observer, const call_record_t *record, request_t *request)
{
	bool answered = record->result == CALL_ANSWERED && (!record->proxy_answer || record->not_run);

	if (answered || !observer->planned_since_ms || record->sent_ms < observer->planned_since_ms ||
	    request->lost_answer)
		return;
	request->lost_answer = g_strdup_printf(
		"%s was executed and its answer was lost in planned work: result %d, status %d", record->id,
		record->result, record->status);
	g_ptr_array_add(observer->lost_answers, request);
}

/* Counts and checks one call. */
static void process_record(soak_observer_t *observer, const call_record_t *record)
{
	request_t *request = get_request(observer, record->id);

	observer->results[record->result]++;
	observer->successes += record->status == 200;
	observer->refusals += record->not_run;
	request->unsafe = record->unsafe;
	request->not_run = record->not_run;
	check_request(observer, record->id, request);
	if (*record->error)
		soak_observer_add_violation(observer, g_strdup_printf("%s: %s", record->id, record->error));
	if (record->change && record->status == 200)
		check_change_order(observer, record);
	record_lost_answer(observer, record, request);
}

void soak_observer_update(soak_observer_t *observer)
{
	call_record_t *record;

	while ((record = g_async_queue_try_pop(observer->shared->records))) {
		process_record(observer, record);
		g_free(record);
	}
	for (guint i = 0; i < observer->journals->len; i++)
		read_journal(observer, g_ptr_array_index(observer->journals, i));
}

void soak_observer_set_planned(soak_observer_t *observer, bool planned)
{
	for (guint i = 0; i < observer->lost_answers->len; i++) {
		request_t *request = g_ptr_array_index(observer->lost_answers, i);

		if (request->executions)
			soak_observer_add_violation(observer, g_strdup(request->lost_answer));
	}
	g_ptr_array_set_size(observer->lost_answers, 0);
	observer->planned_since_ms = planned ? soak_now_ms() : 0;
}

int soak_observer_print_violations(soak_observer_t *observer)
{
	for (; observer->printed < observer->violations->len; observer->printed++)
		printf("VIOLATION %s\n",
		       (const char *)g_ptr_array_index(observer->violations, observer->printed));
	return (int)observer->violations->len;
}

void soak_observer_print_calls(const soak_observer_t *observer)
{
	printf("calls: %u answered (%u successes, %u refused, not run), %u truncated, %u closed, %u timed out, %u not sent\n",
	       observer->results[CALL_ANSWERED], observer->successes, observer->refusals,
	       observer->results[CALL_TRUNCATED], observer->results[CALL_CLOSED],
	       observer->results[CALL_TIMED_OUT], observer->results[CALL_NOT_SENT]);
}
