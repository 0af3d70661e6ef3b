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

	while (*at != NULL && strcmp((*at)->name, counter->name) < 0)
		at = &(*at)->next;
	counter->next = *at;
	*at = counter;
}

void
counters_render(msgpack_sbuffer *out)
{
	struct counter *c;
	char line[160];

	for (c = first_counter; c != NULL; c = c->next) {
		int n = snprintf(line, sizeof(line), "%s %" PRId64 "\n",
		    c->name, atomic_load(&c->value));

		msgpack_sbuffer_write(out, line, (size_t)n);
	}
}

void
counters_render_metrics(msgpack_sbuffer *out)
{
	struct counter *c;
	char text[400];

	for (c = first_counter; c != NULL; c = c->next) {
		int n = snprintf(text, sizeof(text),
		    "# HELP magnolia_%s %s\n# TYPE magnolia_%s %s\n"
		    "magnolia_%s %" PRId64 "\n",
		    c->name, c->help, c->name, c->gauge ? "gauge" : "counter",
		    c->name, atomic_load(&c->value));

		msgpack_sbuffer_write(out, text, (size_t)n);
	}
}
