/* Script tests of feeds: a source, children that fetch updates from it, and invalid updates. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "script.h"

/* Packed records of fewer bytes are printed as "small". */
enum { SMALL_PACKED_BYTES = 8192 };

/* The feeds of a script by name, and an update on its way to a child. */
typedef struct {
	GHashTable *feeds;	       /* name -> cw_feed_t * */
	Caraway__News *pending_update; /* fetched by "keep" and applied by "deliver" */
} script_state_t;

/* Returns the feed with the given name; NULL if there is none. */
static cw_feed_t *find_feed(const script_state_t *state, const char *name)
{
	return g_hash_table_lookup(state->feeds, name);
}

/* stage FEED NUMBER SERVICE: content with one service and one route to it */
static void run_stage(const script_state_t *state, char **argv)
{
	Caraway__Service service = CARAWAY__SERVICE__INIT;
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	Caraway__Content content = CARAWAY__CONTENT__INIT;

	service.name = route.service = route.name = argv[3];
	route.path = "/";
	content.title = "test";
	content.n_services = content.n_routes = 1;
	content.services = (Caraway__Service *[]){&service};
	content.routes = (Caraway__Route *[]){&route};
	cw_feed_stage(find_feed(state, argv[1]), strtoull(argv[2], NULL, 10), &content);
}

/* stage-many FEED NUMBER COUNT: content with one service and COUNT routes to it */
static void run_stage_many(const script_state_t *state, char **argv)
{
	uint32_t count = (uint32_t)atoi(argv[3]);
	Caraway__Service service = CARAWAY__SERVICE__INIT;
	Caraway__Service *services[] = {&service};
	Caraway__Route *routes = g_new(Caraway__Route, count);
	Caraway__Route **list = g_new(Caraway__Route *, count);
	Caraway__Content content = CARAWAY__CONTENT__INIT;

	service.name = "many";
	for (uint32_t i = 0; i < count; i++) {
		caraway__route__init(&routes[i]);
		routes[i].name = g_strdup_printf("route-%u", i);
		routes[i].path = g_strdup_printf("/path/%u/", i);
		routes[i].service = "many";
		list[i] = &routes[i];
	}
	content.title = "many";
	content.n_services = 1;
	content.services = services;
	content.n_routes = count;
	content.routes = list;
	cw_feed_stage(find_feed(state, argv[1]), strtoull(argv[2], NULL, 10), &content);
	for (uint32_t i = 0; i < count; i++) {
		g_free(routes[i].name);
		g_free(routes[i].path);
	}
	g_free(routes);
	g_free(list);
}

/* vm FEED NAME: adds a VM in zone eger */
static void run_vm(const script_state_t *state, char **argv)
{
	Caraway__Vm vm = CARAWAY__VM__INIT;

	vm.name = argv[2];
	vm.zone = "eger";
	cw_feed_set_vm(find_feed(state, argv[1]), &vm);
}

/*
 * Corrupts an update.  One bit of a snapshot or of packed records is flipped; otherwise kind says what is
 * changed in the last record, and the chain hashes are recomputed unless the chain hash is what is changed.
 */
static void corrupt_update(Caraway__News *update, const char *kind, uint64_t chain)
{
	Caraway__FeedRecord *last = update->n_records ? update->records[update->n_records - 1] : NULL;

	if (update->snapshot.len)
		update->snapshot.data[update->snapshot.len / 2] ^= 1;
	if (update->records_packed.len)
		update->records_packed.data[update->records_packed.len / 2] ^= 1;
	if (!last)
		return;
	if (!strcmp(kind, "chain"))
		last->chain ^= 1;
	else if (!strcmp(kind, "gap"))
		last->index++;
	else if (!strcmp(kind, "version"))
		last->version++;
	else if (!strcmp(kind, "content"))
		last->stage->content->title[0] ^= 1;
	else if (!strcmp(kind, "number"))
		last->activate->number++;
	else if (!strcmp(kind, "digest"))
		last->activate->digest++;
	if (!strcmp(kind, "chain"))
		return;
	for (size_t i = 0; i < update->n_records; i++) {
		GBytes *packed;
		gsize length;
		const void *data;

		update->records[i]->chain = 0;
		packed = cw_message_pack(&update->records[i]->base);
		data = g_bytes_get_data(packed, &length);
		chain = update->records[i]->chain = cw_hash(data, length, chain);
		g_bytes_unref(packed);
	}
}

/* Fetches the next update for a child from its parent and prints what it contains. */
static Caraway__News *fetch_update(const script_state_t *state, char **argv, size_t max_bytes, GString *out)
{
	const cw_feed_t *child = find_feed(state, argv[1]);
	Caraway__News *update = g_malloc(sizeof(*update));
	cw_status_t status;

	caraway__news__init(update);
	status = cw_feed_fill_update(find_feed(state, argv[2]), cw_feed_index(child), cw_feed_chain(child),
				     max_bytes, update);
	if (status != CW_OK)
		g_string_append_printf(out, "read: %s\n", cw_status_name(status));
	else if (update->snapshot.len)
		g_string_append(out, "snapshot\n");
	else if (update->records_packed.len)
		g_string_append_printf(out, "packed records, %s\n",
				       update->records_packed.len < SMALL_PACKED_BYTES ? "small" : "large");
	else
		g_string_append_printf(out, "%zu records\n", update->n_records);
	return update;
}

/* pull CHILD PARENT [KIND]: fetches an update, corrupts it if KIND is given, applies it */
static void run_pull(const script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__News *update = fetch_update(state, argv, SIZE_MAX, out);

	if (argc > 3)
		corrupt_update(update, argv[3], cw_feed_chain(find_feed(state, argv[1])));
	g_string_append_printf(out, "%s\n",
			       cw_status_name(cw_feed_apply_update(find_feed(state, argv[1]), update)));
	cw_message_free(update);
}

/* show FEED: prints the index, the version and the services configured for VM eger-1 */
static void run_show(const script_state_t *state, char **argv, GString *out)
{
	const cw_feed_t *feed = find_feed(state, argv[1]);
	Caraway__Vm vm = CARAWAY__VM__INIT;
	cw_config_t *config;

	vm.name = "eger-1";
	config = cw_catalog_resolve(cw_feed_catalog(feed), &vm);
	g_string_append_printf(out, "index %" G_GUINT64_FORMAT " version %" G_GUINT64_FORMAT ":",
			       cw_feed_index(feed), cw_feed_version(feed));
	for (guint i = 0; i < config->services->len; i++)
		g_string_append_printf(out, " %s",
				       ((Caraway__Service *)g_ptr_array_index(config->services, i))->name);
	g_string_append_c(out, '\n');
	cw_config_free(config);
}

/* save FROM TO: saves the state of one feed and loads it into another */
static void run_save(const script_state_t *state, char **argv, GString *out)
{
	Caraway__FeedSnapshot *saved = cw_feed_save(find_feed(state, argv[1]));

	g_string_append_printf(out, "%s\n", cw_status_name(cw_feed_load(find_feed(state, argv[2]), saved)));
	cw_message_free(saved);
}

/* Executes one command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	script_state_t *state = data;

	if (!strcmp(argv[0], "feed")) {
		g_hash_table_insert(state->feeds, g_strdup(argv[1]),
				    cw_feed_new(strtoull(argv[2], NULL, 10)));
	} else if (!strcmp(argv[0], "stage")) {
		run_stage(state, argv);
	} else if (!strcmp(argv[0], "stage-many")) {
		run_stage_many(state, argv);
	} else if (!strcmp(argv[0], "activate")) {
		g_string_append_printf(out, "%s\n",
				       cw_status_name(cw_feed_activate(find_feed(state, argv[1]),
								       strtoull(argv[2], NULL, 10), 0, 0)));
	} else if (!strcmp(argv[0], "drop")) {
		cw_feed_drop(find_feed(state, argv[1]), strtoull(argv[2], NULL, 10));
	} else if (!strcmp(argv[0], "vm")) {
		run_vm(state, argv);
	} else if (!strcmp(argv[0], "pull")) {
		run_pull(state, argc, argv, out);
	} else if (!strcmp(argv[0], "keep")) { /* keep CHILD PARENT BYTES: fetches, not yet applied */
		cw_message_free(state->pending_update);
		state->pending_update = fetch_update(state, argv, strtoull(argv[3], NULL, 10), out);
	} else if (!strcmp(argv[0], "deliver")) { /* deliver CHILD: applies the pending update */
		g_string_append_printf(out, "%s\n",
				       cw_status_name(cw_feed_apply_update(find_feed(state, argv[1]),
									   state->pending_update)));
	} else if (!strcmp(argv[0], "show")) {
		run_show(state, argv, out);
	} else if (!strcmp(argv[0], "save")) {
		run_save(state, argv, out);
	} else {
		g_string_append(out, "no such command\n");
	}
}

/* Frees a feed; the value destructor of the hash table. */
static void free_feed(void *feed)
{
	cw_feed_free(feed);
}

/* Runs the script with the index _i. */
START_TEST(test_script)
{
	script_state_t state = {g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_feed), NULL};

	script_assert("tests/feed", _i, run_command, &state);
	g_hash_table_unref(state.feeds);
	cw_message_free(state.pending_update);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/feed", test_script, 30);
}
