/* Scripted tests of the data folder, with injected write errors and damaged files: tests/store. */
#include "script.h"
#include "store_internal.h"

#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

enum { TIMEOUT_S = 60, DATA_BYTES = 10 };

/* The injected error: the system call that fails, after how many successes, and with which errno. */
static struct {
	const char *call; /* NULL: no error is injected */
	int successes_left;
	int error;
} fault;

/* The data folder of a test and its store, NULL while closed. */
typedef struct {
	char *folder;
	store_t *store;
} fixture_t;

/* Returns whether this invocation of a system call is to fail, with errno set; counts its successes. */
static bool inject_error(const char *call)
{
	if (!fault.call || strcmp(fault.call, call) != 0 || fault.successes_left-- > 0)
		return false;
	errno = fault.error;
	return true;
}

/* Fails if an error is injected, else does a short write of half the data. */
static ssize_t faulty_write(int fd, const void *data, size_t length)
{
	return inject_error("write") ? -1 : write(fd, data, length > 1 ? length / 2 : length);
}

/* Fails if an error is injected, else syncs. */
static int faulty_sync(int fd)
{
	return inject_error("sync") ? -1 : fsync(fd);
}

/* Fails if an error is injected, else truncates. */
static int faulty_truncate(int fd, off_t length)
{
	return inject_error("truncate") ? -1 : ftruncate(fd, length);
}

/* Fails if an error is injected, else renames. */
static int faulty_rename(int folder_fd, const char *from, const char *to)
{
	return inject_error("rename") ? -1 : renameat(folder_fd, from, folder_fd, to);
}

static const store_ops_t faulty_ops = {faulty_write, faulty_sync, faulty_truncate, faulty_rename};

/* Appends the name of a status as a line. */
static void append_status(cw_status_t status, GString *out)
{
	g_string_append_printf(out, "%s\n", cw_status_name(status));
}

/* Opens a folder; appends a line with its contents to out unless that is NULL. */
static cw_status_t open_store(fixture_t *fixture, const char *folder, GString *out)
{
	cw_raft_stored_t stored;
	GBytes *snapshot;
	cw_status_t status = store_open_with_ops(folder, &faulty_ops, &fixture->store, &stored, &snapshot);

	if (status != CW_OK)
		return status;
	if (out)
		g_string_append_printf(out,
				       "term %" G_GUINT64_FORMAT " vote %u, snapshot %" G_GUINT64_FORMAT
				       " of %zu bytes, %zu voters, entries",
				       stored.term, stored.voted_id, stored.snapshot_index,
				       snapshot ? g_bytes_get_size(snapshot) : 0,
				       stored.membership->n_voters);
	for (guint i = 0; out && i < stored.entries->len; i++) {
		const Caraway__Entry *entry = g_ptr_array_index(stored.entries, i);

		g_string_append_printf(out, " %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, entry->term,
				       entry->index);
	}
	if (out)
		g_string_append_c(out, '\n');
	if (snapshot)
		g_bytes_unref(snapshot);
	store_clear_raft_state(&stored);
	return CW_OK;
}

/* Closes the store. */
static void close_store(fixture_t *fixture)
{
	store_close(fixture->store);
	fixture->store = NULL;
}

/* Appends entries of one term to the log; first and last are indexes. */
static cw_status_t append(fixture_t *fixture, uint64_t first, uint64_t last, uint64_t term)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(cw_message_free);
	char data[DATA_BYTES] = "command 1";
	cw_status_t status;

	for (uint64_t index = first; index <= last; index++) {
		Caraway__Entry entry = CARAWAY__ENTRY__INIT;

		entry.index = index;
		entry.term = term;
		entry.data.data = (uint8_t *)data;
		entry.data.len = sizeof(data);
		g_ptr_array_add(entries, cw_message_copy(&entry.base));
	}
	status = store_append_entries(fixture->store, entries);
	g_ptr_array_free(entries, TRUE);
	return status;
}

/* Returns a membership with replica 1 as its only voter. */
static Caraway__Membership *new_membership(void)
{
	Caraway__Replica replica = CARAWAY__REPLICA__INIT;
	Caraway__Replica *voters[] = {&replica};
	Caraway__Membership membership = CARAWAY__MEMBERSHIP__INIT;

	replica.id = 1;
	membership.n_voters = 1;
	membership.voters = voters;
	return cw_message_copy(&membership.base);
}

/* Copies the files of a folder to another one, which is created or emptied first. */
static void copy_folder(const char *from, const char *to)
{
	GDir *dir;
	const char *name;

	g_mkdir_with_parents(to, 0700);
	dir = g_dir_open(to, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(to, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	dir = g_dir_open(from, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		char *source_path = g_build_filename(from, name, NULL);
		char *copy_path = g_build_filename(to, name, NULL);
		char *data;
		gsize length;

		ck_assert(g_file_get_contents(source_path, &data, &length, NULL));
		ck_assert(g_file_set_contents_full(copy_path, data, (gssize)length,
						   G_FILE_SET_CONTENTS_CONSISTENT, 0600, NULL));
		g_free(data);
		g_free(source_path);
		g_free(copy_path);
	}
	g_dir_close(dir);
}

/* Damages a file at one position: truncates it there, or flips a bit of the byte there. */
static void damage_file(const char *path, gsize position, bool cut)
{
	char *data;
	gsize length;

	ck_assert(g_file_get_contents(path, &data, &length, NULL));
	if (!cut)
		data[position] ^= 0x10;
	ck_assert(g_file_set_contents_full(path, data, (gssize)(cut ? position : length),
					   G_FILE_SET_CONTENTS_CONSISTENT, 0600, NULL));
	g_free(data);
}

/*
 * cut FILE, flip FILE: damages a file at every byte in turn, each time in a new copy of the
 * folder, and prints how often opening the copy returned each status, and the contents when a copy
 * damaged at the first or last byte could be opened.
 */
static void run_damage(fixture_t *fixture, const char *name, bool cut, GString *out)
{
	char *copy = g_strconcat(fixture->folder, "-copy", NULL);
	char *path = g_build_filename(copy, name, NULL);
	unsigned counts[CW_STATUS_COUNT] = {0};
	GStatBuf info;

	copy_folder(fixture->folder, copy);
	ck_assert(!g_stat(path, &info));
	for (gsize position = 0; position < (gsize)info.st_size; position++) {
		GString *contents = g_string_new(NULL);
		cw_status_t status;

		copy_folder(fixture->folder, copy);
		damage_file(path, position, cut);
		status = open_store(fixture, copy, contents);
		counts[status]++;
		if (status == CW_OK && (!position || position + 1 == (gsize)info.st_size))
			g_string_append(out, contents->str);
		close_store(fixture);
		g_string_free(contents, TRUE);
	}
	for (int status = 0; status < CW_STATUS_COUNT; status++)
		if (counts[status])
			g_string_append_printf(out, "%s %u\n", cw_status_name(status), counts[status]);
	g_free(path);
	g_free(copy);
}

/* Limits the size of files, so that writes beyond it fail as on a full disk; 0 removes the limit. */
static void limit_file_size(rlim_t bytes)
{
	struct rlimit limit;

	signal(SIGXFSZ, SIG_IGN);
	getrlimit(RLIMIT_FSIZE, &limit);
	limit.rlim_cur = bytes ? bytes : limit.rlim_max;
	setrlimit(RLIMIT_FSIZE, &limit);
}

/* fail [CALL [SUCCESSES [full]]]: injects an error from now on; without CALL, none. */
static void run_fail(int argc, char **argv)
{
	static char call[16];

	g_strlcpy(call, argc > 1 ? argv[1] : "", sizeof(call));
	fault.call = argc > 1 ? call : NULL;
	fault.successes_left = argc > 2 ? atoi(argv[2]) : 0;
	fault.error = argc > 3 && !strcmp(argv[3], "full") ? ENOSPC : EIO;
}

/*
 * Executes a command that writes to the data folder and prints the status; returns whether it is one.
 *   format                               formats the folder, with incarnation 7
 *   append FIRST LAST TERM               appends entries; FIRST and LAST are indexes
 *   term TERM VOTED_ID                   saves term and vote
 *   renew INCARNATION                    saves a new incarnation
 *   snapshot INDEX TERM, install INDEX TERM  save a snapshot; snapshot keeps the later entries of the log
 */
static bool run_write_command(fixture_t *fixture, int argc, char **argv, GString *out)
{
	uint64_t first = argc > 1 ? g_ascii_strtoull(argv[1], NULL, 10) : 0;
	uint64_t second = argc > 2 ? g_ascii_strtoull(argv[2], NULL, 10) : 0;
	uint64_t third = argc > 3 ? g_ascii_strtoull(argv[3], NULL, 10) : 0;
	Caraway__Membership *membership = new_membership();
	bool handled = true;

	if (!strcmp(argv[0], "format"))
		append_status(store_format(fixture->folder, 7, membership), out);
	else if (!strcmp(argv[0], "append"))
		append_status(append(fixture, first, second, third), out);
	else if (!strcmp(argv[0], "term"))
		append_status(store_save_term(fixture->store, first, (uint32_t)second, 1), out);
	else if (!strcmp(argv[0], "renew"))
		append_status(store_save_incarnation(fixture->store, first), out);
	else if (!strcmp(argv[0], "snapshot"))
		append_status(
			store_save_snapshot(fixture->store, first, second, membership, "state", 5, true),
			out);
	else if (!strcmp(argv[0], "install"))
		append_status(
			store_save_snapshot(fixture->store, first, second, membership, "installed", 9, false),
			out);
	else
		handled = false;
	cw_message_free(membership);
	return handled;
}

/*
 * Executes one script command: open reopens the folder and prints its contents, close closes it,
 * limit [BYTES] limits the size of files, remove FILE removes a file, own-incarnation prints "formatted"
 * if the incarnation is the one that format wrote, else "new".
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	fixture_t *fixture = data;
	cw_status_t status;

	if (run_write_command(fixture, argc, argv, out))
		return;
	if (!strcmp(argv[0], "open")) {
		close_store(fixture);
		status = open_store(fixture, fixture->folder, out);
		if (status != CW_OK)
			append_status(status, out);
	} else if (!strcmp(argv[0], "close")) {
		close_store(fixture);
	} else if (!strcmp(argv[0], "fail")) {
		run_fail(argc, argv);
	} else if (!strcmp(argv[0], "limit")) {
		limit_file_size(argc > 1 ? (rlim_t)atoi(argv[1]) : 0);
	} else if (!strcmp(argv[0], "cut") || !strcmp(argv[0], "flip")) {
		run_damage(fixture, argv[1], !strcmp(argv[0], "cut"), out);
	} else if (!strcmp(argv[0], "remove")) {
		char *path = g_build_filename(fixture->folder, argv[1], NULL);

		g_unlink(path);
		g_free(path);
	} else if (!strcmp(argv[0], "own-incarnation")) {
		g_string_append(out, store_incarnation(fixture->store) == 7 ? "formatted\n" : "new\n");
	} else {
		g_string_append(out, "no such command\n");
	}
}

/* Removes a folder and the files in it. */
static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *path = g_build_filename(folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(folder);
}

/* Runs one script of tests/store in a new folder. */
START_TEST(test_script)
{
	GPtrArray *files = script_list("tests/store");
	char *parent = g_dir_make_tmp("store-XXXXXX", NULL);
	fixture_t fixture = {g_build_filename(parent, "data", NULL), NULL};
	char *copy = g_strconcat(fixture.folder, "-copy", NULL);
	char *difference;

	fault.call = NULL;
	difference = script_run(g_ptr_array_index(files, _i), run_command, &fixture);
	close_store(&fixture);
	remove_folder(fixture.folder);
	remove_folder(copy);
	g_rmdir(parent);
	ck_assert_msg(!difference, "%s", difference);
	g_ptr_array_free(files, TRUE);
	g_free(fixture.folder);
	g_free(copy);
	g_free(parent);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/store", test_script, TIMEOUT_S);
}
