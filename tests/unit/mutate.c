/* Random mutations of byte strings and protobuf messages for fuzz tests; a seed reproduces them. */
#include "mutate.h"

#include <string.h>

/* Tokens of change files and selectors, and bytes that parsers may handle wrongly. */
static const char *const tokens[] = {
	"[",	 "]",	    "=",      "!",    ",",	  "\n",		"[change]", "remove = true",
	"title", "\\s",	    "\xc3",   "[de]", "-1",	  "4294967296", "#",	    " ",
	"zone=", "[route ", "path=/", "\r\n", "\xff\xff", "vm"};

/* Removes a random range of up to 20 bytes. */
static void remove_range(GRand *random, GByteArray *bytes)
{
	guint start = (guint)g_rand_int_range(random, 0, (gint32)bytes->len);
	guint length = (guint)g_rand_int_range(random, 0, (gint32)MIN(bytes->len - start, 20U) + 1);

	g_byte_array_remove_range(bytes, start, length);
}

/* Inserts data, which may be part of the array itself, at a random offset. */
static void insert_bytes(GRand *random, GByteArray *bytes, const void *data, guint length)
{
	guint start = (guint)g_rand_int_range(random, 0, (gint32)bytes->len + 1);
	guint8 *copy = g_memdup2(data, length ? length : 1);
	guint tail = bytes->len - start;

	g_byte_array_set_size(bytes, bytes->len + length);
	memmove(bytes->data + start + length, bytes->data + start, tail);
	memcpy(bytes->data + start, copy, length);
	g_free(copy);
}

/* Inserts a copy of a random range of up to 30 bytes at a random offset. */
static void duplicate_range(GRand *random, GByteArray *bytes)
{
	guint start = (guint)g_rand_int_range(random, 0, (gint32)bytes->len);

	insert_bytes(random, bytes, bytes->data + start, MIN(bytes->len - start, 30U));
}

/* Inserts a random token or overwrites one byte with a random value, each half of the time. */
static void insert_token_or_overwrite_byte(GRand *random, GByteArray *bytes)
{
	const char *token = tokens[g_rand_int_range(random, 0, G_N_ELEMENTS(tokens))];

	if (g_rand_boolean(random))
		insert_bytes(random, bytes, token, (guint)strlen(token));
	else
		bytes->data[g_rand_int_range(random, 0, (gint32)bytes->len)] = (guint8)g_rand_int(random);
}

GByteArray *mutate_bytes(GRand *random, const void *data, size_t length)
{
	GByteArray *bytes = g_byte_array_new();
	int count = g_rand_int_range(random, 1, 5);

	g_byte_array_append(bytes, data, (guint)length);
	for (int i = 0; i < count && bytes->len; i++) {
		switch (g_rand_int_range(random, 0, 4)) {
		case 0:
			remove_range(random, bytes);
			break;
		case 1:
			duplicate_range(random, bytes);
			break;
		default:
			insert_token_or_overwrite_byte(random, bytes);
		}
	}
	return bytes;
}

/* Returns a small number or a boundary value of an integer type. */
static uint64_t boundary_value(GRand *random)
{
	static const uint64_t values[] = {0, 1, 2, 3, 5, 1000, INT32_MAX, UINT32_MAX, INT64_MAX, UINT64_MAX};

	return values[g_rand_int_range(random, 0, G_N_ELEMENTS(values))];
}

/* Replaces a string with a token, a plausible value or the empty string. */
static void replace_string(GRand *random, char **field)
{
	static const char *const plausible_values[] = {"", "a", "v1", "zone=eger", "/x", "anna", "a b"};
	bool plausible = g_rand_boolean(random);

	if (*field != (char *)protobuf_c_empty_string)
		free(*field);
	*field = strdup(
		plausible ? plausible_values[g_rand_int_range(random, 0, G_N_ELEMENTS(plausible_values))]
			  : tokens[g_rand_int_range(random, 0, G_N_ELEMENTS(tokens))]);
}

/* Removes, duplicates or mutates one message of a repeated field. */
static void mutate_repeated(GRand *random, void *member, size_t *count)
{
	ProtobufCMessage ***list = member;
	size_t i;

	if (!*count)
		return;
	i = (size_t)g_rand_int_range(random, 0, (gint32)*count);
	switch (g_rand_int_range(random, 0, 4)) {
	case 0:
		cw_message_free((*list)[i]);
		(*list)[i] = (*list)[--*count];
		break;
	case 1:
		*list = realloc(*list, (*count + 1) * sizeof(void *));
		(*list)[*count] = cw_message_copy((*list)[i]);
		++*count;
		break;
	default:
		mutate_message(random, (*list)[i]);
	}
}

/* Removes or mutates the submessage of a non-repeated field. */
static void mutate_submessage(GRand *random, ProtobufCMessage **member)
{
	if (!*member)
		return;
	if (g_rand_int_range(random, 0, 4)) {
		mutate_message(random, *member);
		return;
	}
	cw_message_free(*member);
	*member = NULL;
}

/* Changes the value of a non-repeated field that is not a message. */
static void mutate_scalar(GRand *random, const ProtobufCFieldDescriptor *field, void *member)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_STRING:
		replace_string(random, member);
		break;
	case PROTOBUF_C_TYPE_BOOL:
		*(protobuf_c_boolean *)member = !*(protobuf_c_boolean *)member;
		break;
	case PROTOBUF_C_TYPE_UINT32:
	case PROTOBUF_C_TYPE_INT32:
	case PROTOBUF_C_TYPE_ENUM:
		*(uint32_t *)member = (uint32_t)boundary_value(random);
		break;
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_FIXED64:
		*(uint64_t *)member = boundary_value(random);
		break;
	default:
		break;
	}
}

void mutate_message(GRand *random, ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;
	const ProtobufCFieldDescriptor *field;
	char *bytes = (char *)message;

	if (!descriptor->n_fields)
		return;
	field = &descriptor->fields[g_rand_int_range(random, 0, (gint32)descriptor->n_fields)];
	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF &&
	    *(uint32_t *)(bytes + field->quantifier_offset) != field->id)
		return;
	if (field->type == PROTOBUF_C_TYPE_MESSAGE && field->label == PROTOBUF_C_LABEL_REPEATED)
		mutate_repeated(random, bytes + field->offset, (size_t *)(bytes + field->quantifier_offset));
	else if (field->type == PROTOBUF_C_TYPE_MESSAGE)
		mutate_submessage(random, (ProtobufCMessage **)(bytes + field->offset));
	else if (field->label != PROTOBUF_C_LABEL_REPEATED)
		mutate_scalar(random, field, bytes + field->offset);
}
