/*
 * A target turns slow, so that calls wait for it in the queue of its proxy.  It then reports that it is
 * draining, which its proxy acknowledges.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	HOST = 11, /* to HOST + TARGETS - 1 */
	TARGETS = 3,
	SLOTS = 12,
	WORK_MS = 400,
	SLOW_FACTOR = 12,
	CALL_INTERVAL_MS = 125,
	DEADLINE_MS = 5000,
	DRAIN_MS = 2000,
	CALM_MS = 6000,
	DRAIN_AFTER_MS = 2600, /* of the begin of the slow time */
	END_AFTER_MS = 5500    /* of the acknowledgement */
};

static const char resources[] =
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-report\"},\"spec\":{\"host\":\"shop.example\","
	"\"path_prefix\":\"/report/\",\"kind\":\"safe\",\"timeout_s\":5,\"target_latency_s\":1.2,\"priority\":2,"
	"\"service\":\"orders\",\"max_attempts\":2}},"
	"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"orders\"},\"spec\":{\"health_path\":\"/health\","
	"\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}},"
	"{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
	"\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}";

static volatile int64_t acknowledged_ms; /* 0: not yet */
static volatile int late;
static int sent;

/* Counts the requests that reach the target later than drain_s after the acknowledgement. */
static bool handle(target_t *target, int fd, message_t *request, void *data)
{
	int64_t now_ms = rig_now_ms();
	char id[64] = "", expected[64] = "";

	(void)data;
	rig_header(request, "X-Request-Id", id, sizeof(id));
	rig_header(request, "X-Expect-Instance", expected, sizeof(expected));
	if (strcmp(request->path, "/health") != 0 && !strcmp(expected, target->id) && acknowledged_ms &&
	    now_ms > acknowledged_ms + DRAIN_MS) {
		__sync_add_and_fetch(&late, 1);
		rig_record("%s reaches target %d %lld ms after the acknowledgement  <-- later than drain_s",
			   id, target->host, (long long)(now_ms - acknowledged_ms));
	}
	return target_answer(target, fd, request);
}

static void *send_call(void *data)
{
	int number = (int)(intptr_t)data;
	char head[256];
	message_t answer;
	int status;

	snprintf(
		head, sizeof(head),
		"GET /report/%d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q%05d\r\nX-Deadline-Ms: %d\r\n\r\n",
		number, number, DEADLINE_MS);
	rig_record("client sends q%05d", number);
	status = rig_call(HOST, PORT_OUTBOUND, head, "", 0, DEADLINE_MS + 500, &answer);
	rig_record("client gets %d for q%05d", status, number);
	rig_message_clear(&answer);
	return NULL;
}

/* Sends calls at a steady rate until a time. */
static void send_calls_until(int64_t end_ms)
{
	while (rig_now_ms() < end_ms) {
		pthread_t thread;

		pthread_create(&thread, NULL, send_call, (void *)(intptr_t)++sent);
		pthread_detach(thread);
		rig_sleep_ms(CALL_INTERVAL_MS);
	}
}

int main(void)
{
	target_t *target = NULL;

	rig_init();
	rig_start_control();
	for (int i = TARGETS - 1; i >= 0; i--)
		target = target_start(HOST + i, "orders", SLOTS, WORK_MS);
	target->handle = handle;
	for (int i = 0; i < TARGETS; i++) {
		char zone[8];

		snprintf(zone, sizeof(zone), "z%d", i + 1);
		rig_start_proxy(HOST + i, "orders", zone);
	}
	rig_configure("00000001", "00000000", resources);
	for (int i = 0; i < TARGETS; i++)
		rig_await_service(HOST + i, "/report/a");
	send_calls_until(rig_now_ms() + CALM_MS);
	if (rig_trouble()) {
		rig_record("target %d turns slow, by a factor of %d", HOST, SLOW_FACTOR);
		target->work_ms = WORK_MS * SLOW_FACTOR;
	}
	send_calls_until(rig_now_ms() + DRAIN_AFTER_MS);
	target->draining = true;
	if (!target_send_beat(target, "draining", __sync_add_and_fetch(&target->sequence, 1)))
		rig_exit(RIG_NOT_RUN);
	acknowledged_ms = rig_now_ms();
	rig_record("target %d is draining, which is acknowledged", HOST);
	send_calls_until(acknowledged_ms + END_AFTER_MS);
	rig_record("%d requests sent, %d reached target %d later than %d ms after the acknowledgement", sent,
		   late, HOST, DRAIN_MS);
	rig_exit(late ? RIG_BROKEN : RIG_HELD);
}
