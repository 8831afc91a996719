/*
 * What a target does with a request, crossed with the connection that it comes on: each framing, cut by a
 * regular close or by a reset at each place of interest, after bytes of another answer, followed by more, on a
 * new or a kept connection, for a call with a request id or without.
 *
 * A call gets the whole answer to itself or a failure, it is not told as refused, as the target runs each of
 * these calls, and the next call gets its own answer.
 */
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "headers.h"
#include "script.h"
#include "target_pool.h"

enum {
	POLL_MS = 1,
	MAX_POLLS = 5000,
	DEADLINE_MS = 2000,
	TIMEOUT_S = 300,
	MAX_REQUEST_BYTES = 4096,
	PIECE_PAUSE_US = 2000
};

typedef enum { BY_LENGTH, BY_CHUNKS, BY_CLOSE, FRAMINGS } framing_t;

typedef enum { SEND_WHOLE, CLOSE_AT_PLACE, RESET_AT_PLACE, ENDINGS } ending_t;

/* Where an answer is cut. */
typedef enum {
	AT_START,
	IN_STATUS_LINE,
	IN_HEAD,
	BEFORE_LAST_BYTE_OF_HEAD,
	AFTER_HEAD,
	IN_BODY,
	BEFORE_LAST_BYTE,
	PLACES
} place_t;

/* What comes before the answer. */
typedef enum { NOTHING_BEFORE, INTERIM_ANSWER, EARLIER_ANSWER, EARLIER_REFUSAL, GARBAGE, BEFORES } before_t;

/* What comes after it. */
typedef enum { NOTHING_AFTER, SECOND_COPY, MORE_BYTES, AFTERS } after_t;

static const char *const framing_names[] = {"length", "chunks", "close"};
static const char *const ending_names[] = {"whole", "closed", "reset"};
static const char *const place_names[] = {"start",	"status line", "head",	   "last byte of head",
					  "after head", "body",	       "last byte"};
static const char *const before_names[] = {"nothing", "interim", "earlier answer", "earlier refusal",
					   "garbage"};
static const char *const after_names[] = {"nothing", "second copy", "more bytes"};

/* One case. */
typedef struct {
	framing_t framing;
	ending_t ending;
	place_t place;
	before_t before;
	after_t after;
	bool kept;   /* the connection has carried a call before */
	bool has_id; /* the call */
} answer_case_t;

static const header_names_t header_names = {.deadline = "Deadline",
					    .request_id = "X-Request-Id",
					    .caller_service = "",
					    .expected_target = "",
					    .not_executed = "X-Not-Executed",
					    .target_id = ""};

/* A target on a thread; serves one connection at a time. */
typedef struct {
	int listener;
	int port;
	answer_case_t answer_case;
	const char *text; /* sent in place of the case; NULL: none */
	size_t piece;	  /* bytes of the text that are sent at once */
	int number;	  /* of the next request; the case or text applies to 1 */
	pthread_t thread;
} target_t;

/* Returns the body of the answer to a request; long enough to be cut. */
static char *body_of(int number)
{
	return g_strdup_printf("body-of-%d", number);
}

/* Appends an answer with a body and the request id of a request, if it has one. */
static void append_answer(GString *out, framing_t framing, int number, bool has_id, bool refused)
{
	g_autofree char *body = body_of(number);

	g_string_append(out, refused ? "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" : "HTTP/1.1 200 OK\r\n");
	if (has_id)
		g_string_append_printf(out, "X-Request-Id: q-%d\r\n", number);
	switch (framing) {
	case BY_LENGTH:
		g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
		break;
	case BY_CHUNKS:
		g_string_append_printf(out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
				       strlen(body), body);
		break;
	default:
		g_string_append_printf(out, "Connection: close\r\n\r\n%s", body);
		break;
	}
}

/* Returns how many bytes of an answer are sent before it is cut. */
static size_t bytes_before(const GString *answer, place_t place)
{
	size_t head = (size_t)(strstr(answer->str, "\r\n\r\n") - answer->str) + strlen("\r\n\r\n");

	switch (place) {
	case AT_START:
		return 0;
	case IN_STATUS_LINE:
		return strlen("HTTP/1.1 2");
	case IN_HEAD:
		return head / 2;
	case BEFORE_LAST_BYTE_OF_HEAD:
		return head - 1;
	case AFTER_HEAD:
		return head;
	case IN_BODY:
		return (head + answer->len) / 2;
	default:
		return answer->len - 1;
	}
}

/* Appends what comes before the answer of the case. */
static void append_before(GString *out, const answer_case_t *answer_case)
{
	switch (answer_case->before) {
	case INTERIM_ANSWER:
		g_string_append(out, "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\n");
		g_string_append(out, answer_case->has_id ? "X-Request-Id: q-1\r\n\r\n" : "\r\n");
		break;
	case EARLIER_ANSWER:
		append_answer(out, BY_LENGTH, 0, answer_case->has_id, false);
		break;
	case EARLIER_REFUSAL:
		append_answer(out, BY_LENGTH, 0, answer_case->has_id, true);
		break;
	case GARBAGE:
		g_string_append(out, "no answer at all\r\n\r\n");
		break;
	default:
		break;
	}
}

/* Sends the answer of the case on a connection; returns whether it stays open. */
static bool send_case(int fd, const answer_case_t *answer_case)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	append_before(out, answer_case);
	append_answer(answer, answer_case->framing, 1, answer_case->has_id, false);
	if (answer_case->ending != SEND_WHOLE)
		g_string_truncate(answer, bytes_before(answer, answer_case->place));
	g_string_append_len(out, answer->str, (gssize)answer->len);
	if (answer_case->after == SECOND_COPY)
		g_string_append_len(out, answer->str, (gssize)answer->len);
	else if (answer_case->after == MORE_BYTES)
		g_string_append(out, "more");
	send(fd, out->str, out->len, MSG_NOSIGNAL);
	if (answer_case->ending == RESET_AT_PLACE)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	return answer_case->ending == SEND_WHOLE && answer_case->framing != BY_CLOSE;
}

/* Reads one request without a body; returns false at the end of the stream. */
static bool read_request(int fd)
{
	char text[MAX_REQUEST_BYTES] = "";
	size_t length = 0;

	while (!strstr(text, "\r\n\r\n")) {
		ssize_t count = recv(fd, text + length, sizeof(text) - length - 1, 0);

		if (count <= 0)
			return false;
		length += (size_t)count;
		text[length] = '\0';
	}
	return true;
}

/* Sends a text in pieces, each as a segment of its own. */
static void send_pieces(int fd, const char *text, size_t piece)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	for (size_t length = strlen(text); length; usleep(PIECE_PAUSE_US)) {
		ssize_t sent = send(fd, text, MIN(length, piece), MSG_NOSIGNAL);

		if (sent <= 0)
			return;
		text += sent;
		length -= (size_t)sent;
	}
}

/* Serves a connection: the first call and those after the case get a plain answer, or an earlier refusal. */
static void serve_connection(target_t *target, int fd)
{
	const answer_case_t *answer_case = &target->answer_case;

	while (read_request(fd)) {
		g_autoptr(GString) answer = g_string_new(NULL);
		int number = target->number++;

		if (number == 1 && target->text) {
			send_pieces(fd, target->text, target->piece);
			continue;
		}
		if (number == 1) {
			if (!send_case(fd, answer_case))
				return;
			continue;
		}
		append_answer(answer, BY_LENGTH, number, answer_case->has_id,
			      !number && answer_case->before == EARLIER_REFUSAL);
		send(fd, answer->str, answer->len, MSG_NOSIGNAL);
	}
}

/* Accepts connections until the listener is shut down. */
static void *serve(void *data)
{
	target_t *target = data;
	int fd;

	while ((fd = accept(target->listener, NULL, NULL)) >= 0) {
		serve_connection(target, fd);
		close(fd);
	}
	return NULL;
}

/* Starts a target on a free port. */
static void start_target(target_t *target)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(target->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(target->listener, 8), 0);
	getsockname(target->listener, (struct sockaddr *)&address, &length);
	target->port = ntohs(address.sin_port);
	pthread_create(&target->thread, NULL, serve, target);
}

/* Stops a target; its connections must be closed. */
static void stop_target(target_t *target)
{
	shutdown(target->listener, SHUT_RDWR);
	pthread_join(target->thread, NULL);
	close(target->listener);
}

/* Runs the call of a number to its end. */
static target_job_t *run_call(poller_t *poller, target_pool_t *pool, int number, bool has_id)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__CallRequest *call = g_new(Caraway__CallRequest, 1);
	g_autofree char *id = g_strdup_printf("q-%d", number);
	target_job_t *job, *finished = NULL;

	caraway__message__init(message);
	caraway__call_request__init(call);
	call->method = g_strdup("DELETE");
	call->path = g_strdup("/");
	if (has_id) {
		call->headers = cw_message_array(1);
		call->headers[call->n_headers++] = headers_new("X-Request-Id", id);
	}
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message->call_request = call;
	job = target_job_new(message, NULL);
	job->deadline_ms = clock_now_ms() + DEADLINE_MS;
	target_pool_submit(pool, job);
	for (int i = 0; i < MAX_POLLS && !finished; i++) {
		poller_run(poller, POLL_MS);
		target_pool_tick(pool, clock_now_ms());
		finished = target_pool_collect(pool);
	}
	ck_assert_ptr_nonnull(finished);
	return finished;
}

/* Returns whether a call was answered with the body of a number. */
static bool has_body(const target_job_t *job, int number)
{
	g_autofree char *body = body_of(number);

	return job->result == CW_ADMIT_ANSWERED && job->response->body->len == strlen(body) &&
	       !memcmp(job->response->body->data, body, strlen(body));
}

/* Returns whether the call of a case must be answered: the answer is whole, and what precedes it is told apart. */
static bool must_be_answered(const answer_case_t *answer_case)
{
	return answer_case->ending == SEND_WHOLE && answer_case->before != GARBAGE;
}

/* Returns whether a case is possible, and its answer can be told from others. */
static bool is_possible(const answer_case_t *answer_case)
{
	bool is_cut = answer_case->ending != SEND_WHOLE;
	bool is_copied = answer_case->before == EARLIER_ANSWER || answer_case->before == EARLIER_REFUSAL;

	if (!is_cut && answer_case->place)
		return false;
	if (is_cut && answer_case->after)
		return false;
	/* Nothing tells the end of a body by close from a cut by close, or from more bytes. */
	if (answer_case->framing == BY_CLOSE &&
	    (answer_case->after ||
	     (answer_case->ending == CLOSE_AT_PLACE && answer_case->place >= AFTER_HEAD)))
		return false;
	/* On connections of calls without ids an earlier answer is not told apart: refusal-repeated.md. */
	return !is_copied || (answer_case->kept && answer_case->has_id);
}

/* Returns the words of a case. */
static char *describe(const answer_case_t *answer_case)
{
	return g_strdup_printf("framed by %s, %s at %s, before: %s, after: %s, %s connection, %s id",
			       framing_names[answer_case->framing], ending_names[answer_case->ending],
			       place_names[answer_case->place], before_names[answer_case->before],
			       after_names[answer_case->after], answer_case->kept ? "kept" : "new",
			       answer_case->has_id ? "with" : "without");
}

/* Runs one case. */
static void run_case(target_t *target, const answer_case_t *answer_case)
{
	g_autofree char *words = describe(answer_case);
	g_autofree char *address = g_strdup_printf("127.0.0.1:%d", target->port);
	poller_t *poller = poller_new();
	target_pool_t *pool;
	target_job_t *job;

	target->answer_case = *answer_case;
	target->number = answer_case->kept ? 0 : 1;
	ck_assert_int_eq(target_pool_new(address, &header_names, poller, &pool), CW_OK);
	if (answer_case->kept)
		target_job_free(run_call(poller, pool, 0, answer_case->has_id));
	job = run_call(poller, pool, 1, answer_case->has_id);
	ck_assert_msg(job->result != CW_ADMIT_DECLINED && job->result != CW_ADMIT_NOT_STARTED,
		      "%s: told as not run", words);
	ck_assert_msg(job->result != CW_ADMIT_ANSWERED || has_body(job, 1), "%s: wrong answer", words);
	ck_assert_msg(!must_be_answered(answer_case) || has_body(job, 1), "%s: no answer", words);
	ck_assert_msg(answer_case->ending == SEND_WHOLE || job->result != CW_ADMIT_ANSWERED,
		      "%s: a part told as the answer", words);
	target_job_free(job);
	job = run_call(poller, pool, 2, answer_case->has_id);
	ck_assert_msg(has_body(job, 2), "%s: the next call gets no answer of its own", words);
	target_job_free(job);
	target_pool_free(pool);
	poller_free(poller);
}

/* MIXED, REFUSED: a call gets a part of an answer, that of another call, or an earlier refusal. */
START_TEST(test_each_call_gets_its_own_whole_answer_or_a_failure)
{
	answer_case_t answer_case = {0};
	target_t target = {0};
	int cases = 0;

	start_target(&target);
	for (unsigned i = 0; i < FRAMINGS * ENDINGS * PLACES * BEFORES * AFTERS * 4; i++) {
		unsigned rest = i;

		answer_case.framing = (framing_t)(rest % FRAMINGS);
		rest /= FRAMINGS;
		answer_case.ending = (ending_t)(rest % ENDINGS);
		rest /= ENDINGS;
		answer_case.place = (place_t)(rest % PLACES);
		rest /= PLACES;
		answer_case.before = (before_t)(rest % BEFORES);
		rest /= BEFORES;
		answer_case.after = (after_t)(rest % AFTERS);
		rest /= AFTERS;
		answer_case.kept = rest & 1;
		answer_case.has_id = rest & 2;
		if (!is_possible(&answer_case))
			continue;
		run_case(&target, &answer_case);
		cases++;
	}
	stop_target(&target);
	printf("%d cases\n", cases);
}
END_TEST

/* Heads of answers that must never be passed on, each sent whole and on an open connection. */
static const char *const invalid_answers[] = {
	"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 1000 High\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 600 High\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 +200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 -200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 \r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 000 None\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\nabc",
	"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\n\r\nabc",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\nabc",
	"HTTP/1.1 304 Not Modified\r\n\r\nabc",
};

/* Answers that look alike and are valid. */
static const char *const valid_answers[] = {
	"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.0 599 High\r\nContent-Length: 0\r\n\r\n",
	"\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
};

/* Runs a call that is answered with a text, sent in pieces of some bytes; returns its job. */
static target_job_t *run_text(target_t *target, const char *text, size_t piece)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%d", target->port);
	poller_t *poller = poller_new();
	target_pool_t *pool;
	target_job_t *job, *next;

	target->text = text;
	target->piece = piece;
	target->number = 1;
	ck_assert_int_eq(target_pool_new(address, &header_names, poller, &pool), CW_OK);
	job = run_call(poller, pool, 1, false);
	next = run_call(poller, pool, 2, false);
	ck_assert_msg(has_body(next, 2), "%s: the next call gets no answer of its own", text);
	target_job_free(next);
	target_pool_free(pool);
	poller_free(poller);
	return job;
}

/* An invalid answer is passed on, skipped until the deadline, or taken for a promise that the call did not run. */
START_TEST(test_invalid_answers)
{
	target_t target = {0};
	int passed = 0;

	start_target(&target);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_answers); i++) {
		target_job_t *job = run_text(&target, invalid_answers[i], SIZE_MAX);

		if (job->result != CW_ADMIT_FAILED || job->reason != CW_REASON_CUT) {
			printf("result %d, reason %s: %s\n", job->result, cw_reason_name(job->reason),
			       invalid_answers[i]);
			passed++;
		}
		target_job_free(job);
	}
	stop_target(&target);
	ck_assert_int_eq(passed, 0);
}
END_TEST

/* A valid answer is taken for an invalid one, whole or in pieces that cut its status line. */
START_TEST(test_valid_answers)
{
	target_t target = {0};

	start_target(&target);
	for (size_t i = 0; i < G_N_ELEMENTS(valid_answers); i++)
		for (size_t piece = 1; piece <= 2; piece++) {
			target_job_t *job = run_text(&target, valid_answers[i], piece == 1 ? 7 : SIZE_MAX);

			ck_assert_msg(job->response, "no answer: %s", valid_answers[i]);
			target_job_free(job);
		}
	stop_target(&target);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("answers");
	TCase *tcase = tcase_create("answers");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_each_call_gets_its_own_whole_answer_or_a_failure);
	tcase_add_test(tcase, test_invalid_answers);
	tcase_add_test(tcase, test_valid_answers);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
