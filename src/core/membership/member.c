// Precedence of member records, and names of states.
#include "core/membership/member.h"

bool
member_supersedes(const struct member *a, const struct member *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	if (a->revision != b->revision)
		return a->revision > b->revision;
	return a->status > b->status;
}

bool
backend_state_takes_work(enum backend_state state)
{
	return state == BACKEND_READY || state == BACKEND_COLD;
}

const char *
backend_state_name(enum backend_state state)
{
	switch (state) {
	case BACKEND_NONE:
		return "none";
	case BACKEND_COLD:
		return "cold";
	case BACKEND_READY:
		return "ready";
	case BACKEND_DRAINING:
		return "draining";
	}
	return "unknown";
}

const char *
member_status_name(enum member_status status)
{
	switch (status) {
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		return "dead";
	case MEMBER_LEFT:
		return "left";
	}
	return "unknown";
}
