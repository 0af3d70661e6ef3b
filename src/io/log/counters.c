// Registry of counters and gauges, and their text output.
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "io/log/counters.h"

static struct counter *first_counter;

void
counter_register(struct counter *counter)
{
	struct counter **at = &first_counter;

	while (*at != NULL && strcmp((*at)->name, counter->name) <= 0)
		at = &(*at)->next;
	counter->next = *at;
	*at = counter;
}

/// Appends the line of a counter.
static void
render_series(msgpack_sbuffer *out, const char *prefix, const struct counter *c)
{
	int64_t value = atomic_load(&c->value);
	char line[240];
	int n;

	if (c->labels == NULL)
		n = snprintf(line, sizeof(line), "%s%s %" PRId64 "\n", prefix,
		    c->name, value);
	else if (value != 0)
		n = snprintf(line, sizeof(line), "%s%s{%s} %" PRId64 "\n",
		    prefix, c->name, c->labels, value);
	else
		return;
	msgpack_sbuffer_write(out, line, (size_t)n);
}

void
counters_render(msgpack_sbuffer *out)
{
	struct counter *c;

	for (c = first_counter; c != NULL; c = c->next)
		render_series(out, "", c);
}

void
counters_render_metrics(msgpack_sbuffer *out)
{
	const char *described = "";
	struct counter *c;
	char text[400];

	for (c = first_counter; c != NULL; c = c->next) {
		if (strcmp(described, c->name) != 0) {
			int n = snprintf(text, sizeof(text),
			    "# HELP magnolia_%s %s\n# TYPE magnolia_%s %s\n",
			    c->name, c->help, c->name,
			    c->gauge ? "gauge" : "counter");

			msgpack_sbuffer_write(out, text, (size_t)n);
		}
		described = c->name;
		render_series(out, "magnolia_", c);
	}
}
