/* Scripted runs of feeds: a source, children that read it, and news that is not as it should be. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "script.h"

enum { SMALL_BYTES = 8192 };

typedef struct {
	GHashTable *feeds;   /* name -> cw_feed_t * */
	Caraway__News *kept; /* news kept for later delivery */
} run_t;

/* Returns the feed of a name. */
static cw_feed_t *feed(const run_t *run, const char *name)
{
	return g_hash_table_lookup(run->feeds, name);
}

/* stage FEED NUMBER SERVICE: content with one service and one route to it */
static void run_stage(const run_t *run, char **argv)
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
	cw_feed_stage(feed(run, argv[1]), strtoull(argv[2], NULL, 10), &content);
}

/* stage-many FEED NUMBER COUNT: content with one service and so many routes to it */
static void run_stage_many(const run_t *run, char **argv)
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
	cw_feed_stage(feed(run, argv[1]), strtoull(argv[2], NULL, 10), &content);
	for (uint32_t i = 0; i < count; i++) {
		g_free(routes[i].name);
		g_free(routes[i].path);
	}
	g_free(routes);
	g_free(list);
}

/* vm FEED NAME */
static void run_vm(const run_t *run, char **argv)
{
	Caraway__Vm vm = CARAWAY__VM__INIT;

	vm.name = argv[2];
	vm.zone = "eger";
	cw_feed_set_vm(feed(run, argv[1]), &vm);
}

/* Makes a news wrong in the way named; the chain is made to hold again unless it is what is wrong. */
static void damage(Caraway__News *news, const char *how, uint64_t chain)
{
	Caraway__FeedRecord *last = news->n_records ? news->records[news->n_records - 1] : NULL;

	if (news->snapshot.len)
		news->snapshot.data[news->snapshot.len / 2] ^= 1;
	if (news->records_packed.len)
		news->records_packed.data[news->records_packed.len / 2] ^= 1;
	if (!last)
		return;
	if (!strcmp(how, "chain"))
		last->chain ^= 1;
	else if (!strcmp(how, "gap"))
		last->index++;
	else if (!strcmp(how, "version"))
		last->version++;
	else if (!strcmp(how, "content"))
		last->stage->content->title[0] ^= 1;
	else if (!strcmp(how, "number"))
		last->activate->number++;
	else if (!strcmp(how, "digest"))
		last->activate->digest++;
	if (!strcmp(how, "chain"))
		return;
	for (size_t i = 0; i < news->n_records; i++) {
		GBytes *packed;
		gsize length;
		const void *data;

		news->records[i]->chain = 0;
		packed = cw_message_pack(&news->records[i]->base);
		data = g_bytes_get_data(packed, &length);
		chain = news->records[i]->chain = cw_hash(data, length, chain);
		g_bytes_unref(packed);
	}
}

/* Reads news for a child and says what it holds. */
static Caraway__News *read_news(const run_t *run, char **argv, size_t max_bytes, GString *out)
{
	const cw_feed_t *child = feed(run, argv[1]);
	Caraway__News *news = g_malloc(sizeof(*news));
	cw_status_t status;

	caraway__news__init(news);
	status = cw_feed_fill_update(feed(run, argv[2]), cw_feed_index(child), cw_feed_chain(child),
				     max_bytes, news);
	if (status != CW_OK)
		g_string_append_printf(out, "read: %s\n", cw_status_name(status));
	else if (news->snapshot.len)
		g_string_append(out, "snapshot\n");
	else if (news->records_packed.len)
		g_string_append_printf(out, "packed records, %s\n",
				       news->records_packed.len < SMALL_BYTES ? "small" : "large");
	else
		g_string_append_printf(out, "%zu records\n", news->n_records);
	return news;
}

/* pull CHILD PARENT [DAMAGE] */
static void run_pull(const run_t *run, int argc, char **argv, GString *out)
{
	Caraway__News *news = read_news(run, argv, SIZE_MAX, out);

	if (argc > 3)
		damage(news, argv[3], cw_feed_chain(feed(run, argv[1])));
	g_string_append_printf(out, "%s\n", cw_status_name(cw_feed_apply_update(feed(run, argv[1]), news)));
	cw_message_free(news);
}

/* show FEED: position, and the services in force for a VM of the mesh */
static void run_show(const run_t *run, char **argv, GString *out)
{
	const cw_feed_t *shown = feed(run, argv[1]);
	Caraway__Vm vm = CARAWAY__VM__INIT;
	cw_config_t *config;

	vm.name = "eger-1";
	config = cw_catalog_resolve(cw_feed_catalog(shown), &vm);
	g_string_append_printf(out, "index %" G_GUINT64_FORMAT " version %" G_GUINT64_FORMAT ":",
			       cw_feed_index(shown), cw_feed_version(shown));
	for (guint i = 0; i < config->services->len; i++)
		g_string_append_printf(out, " %s",
				       ((Caraway__Service *)g_ptr_array_index(config->services, i))->name);
	g_string_append_c(out, '\n');
	cw_config_free(config);
}

/* save FROM TO: state through a saved snapshot */
static void run_save(const run_t *run, char **argv, GString *out)
{
	Caraway__FeedSnapshot *saved = cw_feed_save(feed(run, argv[1]));

	g_string_append_printf(out, "%s\n", cw_status_name(cw_feed_load(feed(run, argv[2]), saved)));
	cw_message_free(saved);
}

/* Carries out one command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "feed")) {
		g_hash_table_insert(run->feeds, g_strdup(argv[1]), cw_feed_new(strtoull(argv[2], NULL, 10)));
	} else if (!strcmp(argv[0], "stage")) {
		run_stage(run, argv);
	} else if (!strcmp(argv[0], "stage-many")) {
		run_stage_many(run, argv);
	} else if (!strcmp(argv[0], "activate")) {
		g_string_append_printf(out, "%s\n",
				       cw_status_name(cw_feed_activate(feed(run, argv[1]),
								       strtoull(argv[2], NULL, 10), 0, 0)));
	} else if (!strcmp(argv[0], "drop")) {
		cw_feed_drop(feed(run, argv[1]), strtoull(argv[2], NULL, 10));
	} else if (!strcmp(argv[0], "vm")) {
		run_vm(run, argv);
	} else if (!strcmp(argv[0], "pull")) {
		run_pull(run, argc, argv, out);
	} else if (!strcmp(argv[0], "keep")) { /* keep CHILD PARENT BYTES: the answer is still on its way */
		cw_message_free(run->kept);
		run->kept = read_news(run, argv, strtoull(argv[3], NULL, 10), out);
	} else if (!strcmp(argv[0], "deliver")) { /* deliver CHILD */
		g_string_append_printf(out, "%s\n",
				       cw_status_name(cw_feed_apply_update(feed(run, argv[1]), run->kept)));
	} else if (!strcmp(argv[0], "show")) {
		run_show(run, argv, out);
	} else if (!strcmp(argv[0], "save")) {
		run_save(run, argv, out);
	} else {
		g_string_append(out, "no such command\n");
	}
}

/* Frees a feed held by a hash table. */
static void free_feed(void *held)
{
	cw_feed_free(held);
}

START_TEST(test_script)
{
	run_t run = {g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_feed), NULL};

	script_check("tests/feed", _i, run_command, &run);
	g_hash_table_unref(run.feeds);
	cw_message_free(run.kept);
}
END_TEST

int main(void)
{
	return script_main("tests/feed", test_script, 30);
}
