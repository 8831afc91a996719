/* Bytes, memory and time of a feed and of a member table at the planned size; part of bench_feed. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "../libcaraway/libcaraway.h"
#include "feed_contents.h"

/* The size planned for within two years, from docs/CAPACITY.md. */
enum {
	PLANNED_VMS = 8700,
	PLANNED_ZONES = 12,
	PLANNED_SERVICES = 1700,
	PLANNED_CHANGES_PER_DAY = 5200,
	SECONDS_PER_DAY = 86400,
	PATH_BYTES = 250,	 /* of a route, as long as the users' long paths */
	MAX_UPDATE_BYTES = 65536 /* maximum size of the records in one update, as in the daemon */
};

/* Stages and activates changes, each for one zone; zones and services are as many as planned. */
static void fill_feed(cw_feed_t *feed, uint32_t changes)
{
	for (uint32_t i = 0; i < changes; i++) {
		g_autofree char *selector = g_strdup_printf("zone=zone-%u", i % PLANNED_ZONES);
		g_autofree char *service_name = g_strdup_printf("service-%u", i % PLANNED_SERVICES);
		g_autofree char *path = g_strdup_printf("/%0*u", PATH_BYTES, i % PLANNED_SERVICES);
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
 * Sends a feed from its first record to a new child; returns the bytes of the
 * updates, the number of records and the processor time to apply one, in us.
 * Records are counted by the index reached, since a large update carries them
 * compressed and has an empty list of records.
 */
static size_t replay_feed(const cw_feed_t *feed, size_t *records, double *apply_us)
{
	cw_feed_t *child = cw_feed_new(64);
	size_t bytes = 0;
	clock_t cpu = 0;

	*records = 0;
	while (cw_feed_index(child) < cw_feed_index(feed)) {
		Caraway__News *update = g_new(Caraway__News, 1);
		uint64_t previous_index = cw_feed_index(child);
		clock_t start;

		caraway__news__init(update);
		cw_feed_fill_update(feed, cw_feed_index(child), cw_feed_chain(child), MAX_UPDATE_BYTES,
				    update);
		bytes += caraway__news__get_packed_size(update);
		start = clock();
		if (cw_feed_apply_update(child, update) != CW_OK)
			abort();
		cpu += clock() - start;
		*records += cw_feed_index(child) - previous_index;
		cw_message_free(update);
	}
	*apply_us = (double)cpu / CLOCKS_PER_SEC * 1e6 / (double)MAX(1, *records);
	cw_feed_free(child);
	return bytes;
}

/*
 * Compares sending every record to every proxy, measured, with sending each
 * record only to the proxies that it selects, calculated from that.
 */
void bench_feed_selectors(void)
{
	cw_feed_t *feed = cw_feed_new(4 * PLANNED_CHANGES_PER_DAY);
	size_t before = mallinfo2().uordblks;
	Caraway__News update = CARAWAY__NEWS__INIT;
	cw_feed_t *short_feed = cw_feed_new(1); /* keeps one record, so that a new child gets a snapshot */
	double apply_us;
	size_t records;
	size_t bytes;
	size_t memory;

	fill_feed(feed, PLANNED_CHANGES_PER_DAY);
	memory = mallinfo2().uordblks - before;
	bytes = replay_feed(feed, &records, &apply_us);
	fill_feed(short_feed, PLANNED_CHANGES_PER_DAY);
	cw_feed_fill_update(short_feed, 0, 0, MAX_UPDATE_BYTES, &update);
	printf("{\"run\":\"selector\",\"mode\":\"full-log\",\"changes\":%d,\"records\":%zu,"
	       "\"bytes_per_proxy_a_day\":%zu,\"bytes_s\":%.1f,\"relabel_bytes\":0,"
	       "\"snapshot_bytes\":%zu,\"memory_bytes\":%zu,\"accept_us_per_record\":%.2f}\n",
	       PLANNED_CHANGES_PER_DAY, records, bytes, (double)bytes / SECONDS_PER_DAY, update.snapshot.len,
	       memory, apply_us);
	printf("{\"run\":\"selector\",\"mode\":\"per-selector\",\"calculated\":true,\"changes\":%d,"
	       "\"bytes_per_proxy_a_day\":%zu,\"bytes_s\":%.1f,\"relabel_bytes\":%zu,"
	       "\"memory_bytes\":%zu}\n",
	       PLANNED_CHANGES_PER_DAY, bytes / PLANNED_ZONES,
	       (double)bytes / PLANNED_ZONES / SECONDS_PER_DAY, update.snapshot.len / PLANNED_ZONES,
	       memory / PLANNED_ZONES);
	fflush(stdout);
	g_free(update.snapshot.data);
	cw_feed_free(feed);
	cw_feed_free(short_feed);
}

/*
 * Measures a member table of the planned size: memory, bytes of an update with
 * all of it, and the processor time to fill it and to build that update.
 */
void bench_feed_members(void)
{
	size_t before = mallinfo2().uordblks;
	cw_members_t *members = cw_members_new(1, 30000);
	Caraway__News update = CARAWAY__NEWS__INIT;
	clock_t start = clock();
	size_t memory;

	for (uint32_t i = 0; i < PLANNED_VMS; i++) {
		g_autofree char *vm = g_strdup_printf("zone-%u-vm-%u", i % PLANNED_ZONES, i);
		g_autofree char *zone = g_strdup_printf("zone-%u", i % PLANNED_ZONES);
		g_autofree char *service = g_strdup_printf("service-%u", i % PLANNED_SERVICES);
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
	cw_members_fill_update(members, 0, 0, &update);
	printf("{\"run\":\"members\",\"members\":%d,\"memory_bytes\":%zu,\"whole_table_bytes\":%zu,"
	       "\"announce_us\":%.2f}\n",
	       PLANNED_VMS, memory, caraway__news__get_packed_size(&update),
	       (double)(clock() - start) / CLOCKS_PER_SEC * 1e6 / PLANNED_VMS);
	g_free(update.endpoints_packed.data);
	cw_members_free(members);
}
