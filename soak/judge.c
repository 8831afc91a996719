/* The promises, checked from what callers saw and what targets ran. */
#include "judge.h"

#include <stdio.h>
#include <string.h>

/* What is known of a request by its id. */
typedef struct {
	int runs;
	bool unsafe;
	bool promised;	 /* not to run */
	char *cut_short; /* of planned work only: how it ended without a target's answer; owned */
} request_t;

/* The file of a target, read as far as it went. */
typedef struct {
	char *name;
	FILE *file; /* NULL until it is there */
} journal_t;

/* What a proxy showed of the configuration it holds. */
typedef struct {
	int lifetime;
	int turn;
	int64_t seen_ms; /* end of the first call that showed it */
} shown_t;

struct judge {
	cluster_t *cluster;
	soak_load_t *load;
	GHashTable *requests; /* id -> request_t */
	GPtrArray *journals;  /* journal_t * */
	GPtrArray *cut_short; /* request_t *, of the table */
	GPtrArray *faults;    /* char * */
	guint printed;
	shown_t shown[SOAK_MAX_PROXIES];
	int64_t planned_from_ms; /* 0: other work is done too */
	guint ends[CALL_UNSENT + 1];
	guint successes;
	guint refusals;
};

/* Frees a request. */
static void free_request(gpointer data)
{
	request_t *request = data;

	g_free(request->cut_short);
	g_free(request);
}

/* Frees a journal. */
static void free_journal(gpointer data)
{
	journal_t *journal = data;

	if (journal->file)
		fclose(journal->file);
	g_free(journal->name);
	g_free(journal);
}

judge_t *judge_new(cluster_t *cluster, soak_load_t *load)
{
	judge_t *judge = g_new0(judge_t, 1);

	judge->cluster = cluster;
	judge->load = load;
	judge->requests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_request);
	judge->journals = g_ptr_array_new_with_free_func(free_journal);
	judge->cut_short = g_ptr_array_new();
	judge->faults = g_ptr_array_new_with_free_func(g_free);
	return judge;
}

void judge_free(judge_t *judge)
{
	g_ptr_array_free(judge->faults, TRUE);
	g_ptr_array_free(judge->cut_short, TRUE);
	g_ptr_array_free(judge->journals, TRUE);
	g_hash_table_destroy(judge->requests);
	g_free(judge);
}

void judge_add_target(judge_t *judge, const char *proxy)
{
	journal_t *journal = g_new0(journal_t, 1);

	journal->name = cluster_target_journal(judge->cluster, proxy);
	g_ptr_array_add(judge->journals, journal);
}

void judge_add_fault(judge_t *judge, char *text)
{
	g_ptr_array_add(judge->faults, text);
}

/* Returns the request of an id. */
static request_t *request_of(judge_t *judge, const char *id)
{
	request_t *request = g_hash_table_lookup(judge->requests, id);

	if (request)
		return request;
	request = g_new0(request_t, 1);
	g_hash_table_insert(judge->requests, g_strdup(id), request);
	return request;
}

/* Checks what holds of a request at any time. */
static void check_request(judge_t *judge, const char *id, const request_t *request)
{
	if (request->unsafe && request->runs > 1)
		judge_add_fault(judge,
				g_strdup_printf("%s may run once and ran %d times", id, request->runs));
	if (request->promised && request->runs)
		judge_add_fault(judge,
				g_strdup_printf("%s ran, though its caller was told it would not", id));
}

/* Takes in the executions that a target has appended. */
static void read_journal(judge_t *judge, journal_t *journal)
{
	char line[SOAK_ID_BYTES + 2];

	if (!journal->file)
		journal->file = fopen(journal->name, "re");
	if (!journal->file)
		return;
	clearerr(journal->file);
	while (fgets(line, sizeof(line), journal->file)) {
		request_t *request;

		g_strchomp(line);
		request = request_of(judge, line);
		request->runs++;
		check_request(judge, line, request);
	}
}

/* Checks that a proxy's process never goes back to an older configuration, nor ahead of its review. */
static void check_turn(judge_t *judge, const call_record_t *record)
{
	shown_t *shown = &judge->shown[record->proxy];

	if (record->turn > record->reviewed_turn)
		judge_add_fault(judge, g_strdup_printf("turn %d is in force at proxy %d, not reviewed",
						       record->turn, record->proxy));
	if (record->lifetime == SOAK_NO_LIFETIME)
		return;
	if (shown->lifetime != record->lifetime)
		*shown = (shown_t){.lifetime = record->lifetime};
	if (record->turn > shown->turn) {
		shown->turn = record->turn;
		shown->seen_ms = record->ended_ms;
	} else if (record->turn < shown->turn && record->sent_ms > shown->seen_ms) {
		judge_add_fault(judge, g_strdup_printf("proxy %d went back from turn %d to %d", record->proxy,
						       shown->turn, record->turn));
	}
}

/* Keeps a call that ended without a target's answer while only planned work was done. */
static void note_cut_short(judge_t *judge, const call_record_t *record, request_t *request)
{
	bool answered = record->end == CALL_ANSWERED && (!record->own_answer || record->not_run);

	if (answered || !judge->planned_from_ms || record->sent_ms < judge->planned_from_ms ||
	    request->cut_short)
		return;
	request->cut_short =
		g_strdup_printf("%s ran and its answer was lost in planned work: end %d, status %d",
				record->id, record->end, record->status);
	g_ptr_array_add(judge->cut_short, request);
}

/* Takes in one call. */
static void take_record(judge_t *judge, const call_record_t *record)
{
	request_t *request = request_of(judge, record->id);

	judge->ends[record->end]++;
	judge->successes += record->status == 200;
	judge->refusals += record->not_run;
	request->unsafe = record->unsafe;
	request->promised = record->not_run;
	check_request(judge, record->id, request);
	if (*record->fault)
		judge_add_fault(judge, g_strdup_printf("%s: %s", record->id, record->fault));
	if (record->turn && record->status == 200)
		check_turn(judge, record);
	note_cut_short(judge, record, request);
}

void judge_look(judge_t *judge)
{
	call_record_t *record;

	while ((record = g_async_queue_try_pop(judge->load->records))) {
		take_record(judge, record);
		g_free(record);
	}
	for (guint i = 0; i < judge->journals->len; i++)
		read_journal(judge, g_ptr_array_index(judge->journals, i));
}

void judge_set_planned(judge_t *judge, bool planned)
{
	for (guint i = 0; i < judge->cut_short->len; i++) {
		request_t *request = g_ptr_array_index(judge->cut_short, i);

		if (request->runs)
			judge_add_fault(judge, g_strdup(request->cut_short));
	}
	g_ptr_array_set_size(judge->cut_short, 0);
	judge->planned_from_ms = planned ? soak_now_ms() : 0;
}

int judge_print_faults(judge_t *judge)
{
	for (; judge->printed < judge->faults->len; judge->printed++)
		printf("BROKEN %s\n", (const char *)g_ptr_array_index(judge->faults, judge->printed));
	return (int)judge->faults->len;
}

void judge_print_calls(const judge_t *judge)
{
	printf("calls: %u answered (%u successes, %u refused, not run), %u cut, %u closed, %u silent, %u not sent\n",
	       judge->ends[CALL_ANSWERED], judge->successes, judge->refusals, judge->ends[CALL_CUT],
	       judge->ends[CALL_CLOSED], judge->ends[CALL_SILENT], judge->ends[CALL_UNSENT]);
}
