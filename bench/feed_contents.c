/* What a feed and a table of members cost at the aimed size; part of bench_feed. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../libcaraway/libcaraway.h"
#include "feed_contents.h"

/* The size aimed at within two years, of docs/CAPACITY.md. */
enum {
	AIMED_FLEET = 8700, /* VMs */
	AIMED_ZONES = 12,
	AIMED_SERVICES = 1700,
	AIMED_CHANGES_A_DAY = 5200,
	SECONDS_A_DAY = 86400,
	PATH_BYTES = 250,     /* of a route; a long path of the users' */
	MESSAGE_BYTES = 65536 /* that one answer may carry, as relays ask */
};

/* Fills a feed as a day of changes at the aimed size would, each for one zone. */
static void fill_feed(cw_feed_t *feed, uint32_t changes)
{
	for (uint32_t i = 0; i < changes; i++) {
		g_autofree char *selector = g_strdup_printf("zone=zone-%u", i % AIMED_ZONES);
		g_autofree char *service_name = g_strdup_printf("service-%u", i % AIMED_SERVICES);
		g_autofree char *path = g_strdup_printf("/%0*u", PATH_BYTES, i % AIMED_SERVICES);
		Caraway__Service service = CARAWAY__SERVICE__INIT;
		Caraway__Route route = CARAWAY__ROUTE__INIT;
		Caraway__Content content = CARAWAY__CONTENT__INIT;

		service.name = service_name;
		service.timeout_ms = i + 1;
		route.name = route.service = service_name;
		route.path = path;
		content.title = "a change";
		content.selector = selector;
		content.n_services = content.n_routes = 1;
		content.routes = (Caraway__Route *[]){&route};
		content.services = (Caraway__Service *[]){&service};
		cw_feed_stage(feed, i + 1, &content);
		cw_feed_activate(feed, i + 1, 0, 0);
	}
}

/*
 * Reads a feed from the beginning; returns the bytes, and the time to accept a
 * record, in us.  Records are counted by the place reached: a large batch is
 * sent packed, and then has none to count.
 */
static size_t read_whole(const cw_feed_t *feed, size_t *records, double *accept_us)
{
	cw_feed_t *child = cw_feed_new(64);
	size_t bytes = 0;
	clock_t cpu = 0;

	*records = 0;
	while (cw_feed_index(child) < cw_feed_index(feed)) {
		Caraway__News *news = g_new(Caraway__News, 1);
		uint64_t before = cw_feed_index(child);
		clock_t begin;

		caraway__news__init(news);
		cw_feed_fill_update(feed, cw_feed_index(child), cw_feed_chain(child), MESSAGE_BYTES, news);
		bytes += caraway__news__get_packed_size(news);
		begin = clock();
		if (cw_feed_apply_update(child, news) != CW_OK)
			abort();
		cpu += clock() - begin;
		*records += cw_feed_index(child) - before;
		cw_message_free(news);
	}
	*accept_us = (double)cpu / CLOCKS_PER_SEC * 1e6 / (double)MAX(1, *records);
	cw_feed_free(child);
	return bytes;
}

/* The whole log at every proxy, against content for the selected ones only, at the aimed size. */
void feed_bench_selectors(void)
{
	cw_feed_t *feed = cw_feed_new(4 * AIMED_CHANGES_A_DAY);
	size_t before = mallinfo2().uordblks;
	Caraway__News snapshot = CARAWAY__NEWS__INIT;
	cw_feed_t *behind = cw_feed_new(1);
	double accept_us;
	size_t records;
	size_t bytes;
	size_t memory;

	fill_feed(feed, AIMED_CHANGES_A_DAY);
	memory = mallinfo2().uordblks - before;
	bytes = read_whole(feed, &records, &accept_us);
	fill_feed(behind, AIMED_CHANGES_A_DAY);
	cw_feed_fill_update(behind, 0, 0, MESSAGE_BYTES, &snapshot);
	printf("{\"run\":\"selector\",\"mode\":\"full-log\",\"changes\":%d,\"records\":%zu,"
	       "\"bytes_per_proxy_a_day\":%zu,\"bytes_s\":%.1f,\"relabel_bytes\":0,"
	       "\"snapshot_bytes\":%zu,\"memory_bytes\":%zu,\"accept_us_per_record\":%.2f}\n",
	       AIMED_CHANGES_A_DAY, records, bytes, (double)bytes / SECONDS_A_DAY, snapshot.snapshot.len,
	       memory, accept_us);
	printf("{\"run\":\"selector\",\"mode\":\"per-selector\",\"calculated\":true,\"changes\":%d,"
	       "\"bytes_per_proxy_a_day\":%zu,\"bytes_s\":%.1f,\"relabel_bytes\":%zu,"
	       "\"memory_bytes\":%zu}\n",
	       AIMED_CHANGES_A_DAY, bytes / AIMED_ZONES, (double)bytes / AIMED_ZONES / SECONDS_A_DAY,
	       snapshot.snapshot.len / AIMED_ZONES, memory / AIMED_ZONES);
	fflush(stdout);
	g_free(snapshot.snapshot.data);
	cw_feed_free(feed);
	cw_feed_free(behind);
}

/* Memory and bytes of a table of members at the aimed size, and of one endpoint that changes. */
void feed_bench_members(void)
{
	size_t before = mallinfo2().uordblks;
	cw_members_t *members = cw_members_new(1, 30000);
	Caraway__News whole = CARAWAY__NEWS__INIT;
	clock_t begin = clock();
	size_t memory;

	for (uint32_t i = 0; i < AIMED_FLEET; i++) {
		g_autofree char *vm = g_strdup_printf("zone-%u-vm-%u", i % AIMED_ZONES, i);
		g_autofree char *zone = g_strdup_printf("zone-%u", i % AIMED_ZONES);
		g_autofree char *service = g_strdup_printf("service-%u", i % AIMED_SERVICES);
		uint32_t host = (uint32_t)cw_hash(&i, sizeof(i), 0);
		g_autofree char *call_address =
			g_strdup_printf("10.%u.%u.%u:7201", host & 255, host >> 8 & 255, host >> 16 & 255);
		g_autofree char *feed_address =
			g_strdup_printf("10.%u.%u.%u:7202", host & 255, host >> 8 & 255, host >> 16 & 255);
		Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;

		endpoint.vm = vm;
		endpoint.zone = zone;
		endpoint.region = "region-1";
		endpoint.service = service;
		endpoint.incarnation = 1700000000000000 + host;
		endpoint.sequence = 1;
		endpoint.call_address = call_address;
		endpoint.feed_address = feed_address;
		endpoint.slots = 12;
		cw_members_announce(members, &endpoint, 0);
	}
	memory = mallinfo2().uordblks - before;
	cw_members_fill_update(members, 0, 0, &whole);
	printf("{\"run\":\"members\",\"members\":%d,\"memory_bytes\":%zu,\"whole_table_bytes\":%zu,"
	       "\"announce_us\":%.2f}\n",
	       AIMED_FLEET, memory, caraway__news__get_packed_size(&whole),
	       (double)(clock() - begin) / CLOCKS_PER_SEC * 1e6 / AIMED_FLEET);
	g_free(whole.endpoints_packed.data);
	cw_members_free(members);
}
