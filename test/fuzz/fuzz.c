// Runs the parsers of untrusted input on mutations of a corpus.
//
//   fuzz TARGET FOLDER COUNT [SEED]
//
// Each file of the folder is run as it is and in COUNT mutations. The same seed
// gives the same inputs. With FUZZ_KEEP set, each input is first written to
// fuzz-TARGET.last, which holds the failing one after a crash.
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "core/random.h"
#include "core/replica/replica_config.h"
#include "core/requests/once.h"
#include "core/rules/rules.h"
#include "fakes/fake_disk.h"
#include "fuzz/fuzz_http.h"
#include "io/dialect.h"
#include "io/disk/wal.h"
#include "io/settings.h"
#include "wire/gossip_codec.h"
#include "wire/messages.h"

#define MAX_INPUT_BYTES 65536

struct target {
	const char *name;
	void (*run)(const char *bytes, size_t size_bytes);
};

static void
run_rules(const char *bytes, size_t size_bytes)
{
	static struct rules_errors errors;
	struct rules *rules = rules_parse(bytes, size_bytes, &errors);

	if (rules != NULL) {
		rules_match(rules, "GET", "h.example", "/a/b?c");
		rules_unref(rules);
	}
}

static void
run_message(const char *bytes, size_t size_bytes)
{
	struct message message;
	struct gossip gossip;
	struct error err;

	if (message_unpack(&message, bytes, size_bytes, &err) != 0)
		return;
	if (message.type == MESSAGE_GOSSIP)
		gossip_from_message(&message.u.gossip, &gossip, &err);
	message_free(&message);
}

static void
run_wal(const char *bytes, size_t size_bytes)
{
	struct replica_stored_state stored;
	struct fake_disk disk;
	struct wal wal;
	struct error err;
	uint32_t i;

	fake_disk_init(&disk);
	disk.disk.ops->append(
	    &disk.disk, "log-0000000001", bytes, size_bytes, &err);
	disk.disk.ops->append(&disk.disk, "snapshot", bytes, size_bytes, &err);
	if (size_bytes % 2 == 0)
		disk.disk.ops->remove(&disk.disk, "snapshot", &err);
	wal_load(&wal, &disk.disk, &stored, &err);
	for (i = 0; i < stored.entry_count; i++)
		free(stored.entries[i].data);
	free(stored.entries);
	free(stored.snapshot.data);
	wal_free(&wal);
	fake_disk_free(&disk);
}

struct fuzz_settings {
	char text[SETTINGS_TEXT_BYTES];
	char address[SETTINGS_TEXT_BYTES];
	int64_t number;
	bool flag;
	struct settings_list list;
};

static void
run_settings(const char *bytes, size_t size_bytes)
{
	static const struct settings_field fields[] = {
	    {"text", SETTINGS_TEXT, offsetof(struct fuzz_settings, text), true,
		0, 0, NULL, ""},
	    {"a.address", SETTINGS_ADDRESS,
		offsetof(struct fuzz_settings, address), false, 0, 0, "\"\"",
		""},
	    {"a.number", SETTINGS_INTEGER,
		offsetof(struct fuzz_settings, number), false, 1, 9, "1", ""},
	    {"flag", SETTINGS_BOOL, offsetof(struct fuzz_settings, flag), false,
		0, 0, "false", ""},
	    {"list", SETTINGS_LIST, offsetof(struct fuzz_settings, list), false,
		0, 0, "[]", ""},
	};
	static struct fuzz_settings settings;
	char path[64];
	FILE *null = fopen("/dev/null", "w");
	FILE *f;

	snprintf(path, sizeof(path), "/tmp/fuzz-settings.%d", (int)getpid());
	f = fopen(path, "w");
	if (f == NULL || null == NULL)
		abort();
	fwrite(bytes, 1, size_bytes, f);
	fclose(f);
	settings_load(path, fields, 5, &settings, null);
	fclose(null);
	unlink(path);
}

static void
run_config(const char *bytes, size_t size_bytes)
{
	struct replica_config config;
	struct once_op op;
	struct error err;

	replica_config_decode(bytes, size_bytes, &config, &err);
	once_op_decode(bytes, (uint32_t)size_bytes, &op, &err);
}

/// Announcements and deregistrations, in the formats of all dialects.
static void
run_announcement(const char *bytes, size_t size_bytes)
{
	static const char *const dialects[] = {"own", "platform"};
	struct backend_announcement a;
	struct error err;
	size_t i;

	for (i = 0; i < 2; i++) {
		const struct dialect *d = dialect_find(dialects[i]);

		d->read_announcement(DIALECT_ANNOUNCE, "i-1", bytes, size_bytes,
		    1000, 1000, &a, &err);
		d->read_announcement(DIALECT_DEREGISTER, "i-1", bytes,
		    size_bytes, 1000, 1000, &a, &err);
	}
}

/// Operators' documents: what is accepted must be rendered again.
static void
run_document(const char *bytes, size_t size_bytes)
{
	const struct dialect *d = dialect_find("platform");
	static struct rules_errors errors;
	struct rules *rules;
	struct error err;
	size_t text_bytes;
	char *text;

	if (d->read_rules(bytes, size_bytes, &text, &text_bytes, &err) != 0)
		return;
	rules = rules_parse(text, text_bytes, &errors);
	free(text);
	if (rules == NULL)
		return;
	text = d->render_rules(rules);
	if (text == NULL || strcmp(text, "{}") == 0)
		abort();
	free(text);
	rules_unref(rules);
}

/// The load and the limit that backend servers state.
static void
run_load(const char *bytes, size_t size_bytes)
{
	const struct dialect *d = dialect_find("platform");
	struct server_load load;
	struct error err;
	uint32_t limit_milli;

	if (d->read_load(bytes, size_bytes, &load, &err) == 0 &&
	    load.slots == 0)
		abort();
	if (d->read_limit(bytes, size_bytes, &limit_milli, &err) == 0 &&
	    limit_milli == 0)
		abort();
}

static const struct target targets[] = {
    {"announcement", run_announcement},
    {"answer", fuzz_run_answer},
    {"document", run_document},
    {"load", run_load},
    {"rules", run_rules},
    {"message", run_message},
    {"request", fuzz_run_request},
    {"wal", run_wal},
    {"settings", run_settings},
    {"config", run_config},
};

/// Applies up to 6 mutations: random bytes, special characters, truncation,
/// repetition and bit flips.
static size_t
mutate(struct random *random, char *bytes, size_t size)
{
	static const char special[] = "\n #=/*\"{}[]:,0\xff\x7f\x80";
	uint32_t changes = 1 + random_below(random, 6);

	while (changes-- > 0 && size > 0) {
		size_t at = random_below(random, (uint32_t)size);

		switch (random_below(random, 5)) {
		case 0:
			bytes[at] = (char)random_next(random);
			break;
		case 1:
			bytes[at] =
			    special[random_below(random, sizeof(special) - 1)];
			break;
		case 2:
			size = at;
			break;
		case 3:
			if (size * 2 < MAX_INPUT_BYTES) {
				memmove(bytes + at + (size - at), bytes + at,
				    size - at);
				size += size - at;
			}
			break;
		default:
			bytes[at] ^= (char)(1 << random_below(random, 8));
			break;
		}
	}
	return size;
}

/// Runs the target on one input.
static void
run_input(const struct target *target, const char *bytes, size_t size)
{
	char path[64];
	char *exact = malloc(size + 1);
	FILE *f;

	if (exact == NULL)
		abort();
	// A copy of the exact size lets the sanitizers find reads past its end.
	memcpy(exact, bytes, size);
	exact = realloc(exact, size > 0 ? size : 1);
	if (getenv("FUZZ_KEEP") != NULL) {
		snprintf(path, sizeof(path), "fuzz-%s.last", target->name);
		f = fopen(path, "w");
		if (f != NULL) {
			fwrite(bytes, 1, size, f);
			fclose(f);
		}
	}
	target->run(exact, size);
	free(exact);
}

static uint32_t
run_file(const struct target *target, const char *path, uint32_t count,
    struct random *random)
{
	static char original[MAX_INPUT_BYTES];
	static char mutated[2 * MAX_INPUT_BYTES];
	FILE *f = fopen(path, "rb");
	size_t size;
	uint32_t i;

	if (f == NULL)
		return 0;
	size = fread(original, 1, sizeof(original) / 2, f);
	fclose(f);
	run_input(target, original, size);
	for (i = 0; i < count; i++) {
		memcpy(mutated, original, size);
		run_input(target, mutated, mutate(random, mutated, size));
	}
	return count + 1;
}

static uint32_t
run_folder(const struct target *target, const char *folder, uint32_t count,
    uint64_t seed)
{
	struct random random = {seed, 0};
	DIR *dir = opendir(folder);
	struct dirent *entry;
	uint32_t inputs = 0;

	while (dir != NULL && (entry = readdir(dir)) != NULL) {
		char path[512];

		if (entry->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
		inputs += run_file(target, path, count, &random);
	}
	if (dir != NULL)
		closedir(dir);
	return inputs;
}

int
main(int argc, char **argv)
{
	uint64_t seed = argc > 4 ? strtoull(argv[4], NULL, 10) : 1;
	uint32_t inputs;
	size_t i;

	if (argc < 4) {
		fprintf(stderr, "usage: fuzz TARGET FOLDER COUNT [SEED]\n");
		return 2;
	}
	for (i = 0; i < sizeof(targets) / sizeof(targets[0]); i++) {
		if (strcmp(targets[i].name, argv[1]) != 0)
			continue;
		inputs = run_folder(&targets[i], argv[2],
		    (uint32_t)strtoul(argv[3], NULL, 10), seed);
		printf("%s: %u inputs\n", argv[1], inputs);
		return inputs > 0 ? 0 : 1;
	}
	fprintf(stderr, "fuzz: unknown target '%s'\n", argv[1]);
	return 2;
}
