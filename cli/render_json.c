/* Messages as JSON, by the descriptors that protobuf-c generates. */
#include "render_json.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

enum { INDENT = 2 };

static json_t *from_message(const ProtobufCMessage *message);

/* Returns an enumerator as its name in lower case. */
static json_t *from_enum(const ProtobufCEnumDescriptor *descriptor, int value)
{
	const ProtobufCEnumValue *found = protobuf_c_enum_descriptor_get_value(descriptor, value);
	g_autofree char *name = NULL;

	if (!found)
		return json_integer(value);
	name = g_ascii_strdown(found->name, -1);
	return json_string(name);
}

/* Returns a hash as hexadecimal text, since not every JSON reader keeps 64 bits. */
static json_t *from_hash(uint64_t value)
{
	g_autofree char *text = g_strdup_printf("%016" PRIx64, value);

	return json_string(text);
}

/* Returns bytes as base64 text. */
static json_t *from_bytes(const ProtobufCBinaryData *bytes)
{
	g_autofree char *text = g_base64_encode(bytes->data, bytes->len);

	return json_string(text);
}

/* Returns one value of a field. */
static json_t *from_value(const ProtobufCFieldDescriptor *field, const void *value)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_MESSAGE:
		return from_message(*(ProtobufCMessage *const *)value);
	case PROTOBUF_C_TYPE_STRING:
		return json_string(*(char *const *)value);
	case PROTOBUF_C_TYPE_ENUM:
		return from_enum(field->descriptor, *(const int *)value);
	case PROTOBUF_C_TYPE_BOOL:
		return json_boolean(*(const protobuf_c_boolean *)value);
	case PROTOBUF_C_TYPE_FIXED64:
		return from_hash(*(const uint64_t *)value);
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_INT64:
		return json_integer(*(const int64_t *)value);
	case PROTOBUF_C_TYPE_UINT32:
		return json_integer(*(const uint32_t *)value);
	case PROTOBUF_C_TYPE_INT32:
		return json_integer(*(const int32_t *)value);
	case PROTOBUF_C_TYPE_BYTES:
		return from_bytes(value);
	default:
		return json_null();
	}
}

/* Returns the distance between the values of a repeated field, in bytes. */
static size_t value_size(const ProtobufCFieldDescriptor *field)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_MESSAGE:
	case PROTOBUF_C_TYPE_STRING:
		return sizeof(void *);
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_INT64:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return sizeof(uint32_t);
	}
}

/* Returns a repeated field as an array. */
static json_t *from_repeated(const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	const char *base = (const char *)message;
	size_t count = *(const size_t *)(base + field->quantifier_offset);
	const char *values = *(const char *const *)(base + field->offset);
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, from_value(field, values + i * value_size(field)));
	return array;
}

/* True when a field is a message or the member of a union that is not set. */
static bool is_absent(const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	const char *base = (const char *)message;

	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF &&
	    *(const uint32_t *)(base + field->quantifier_offset) != field->id)
		return true;
	return field->type == PROTOBUF_C_TYPE_MESSAGE && !*(void *const *)(base + field->offset);
}

/* Returns a message as an object with every field that can be present. */
static json_t *from_message(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;
	json_t *object = json_object();

	for (unsigned i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		if (field->label == PROTOBUF_C_LABEL_REPEATED)
			json_object_set_new(object, field->name, from_repeated(message, field));
		else if (!is_absent(message, field))
			json_object_set_new(object, field->name,
					    from_value(field, (const char *)message + field->offset));
	}
	return object;
}

/* Appends a message as indented JSON and a line end. */
void render_json(const ProtobufCMessage *message, GString *out)
{
	json_t *object = from_message(message);
	char *text = json_dumps(object, JSON_INDENT(INDENT));

	g_string_append_printf(out, "%s\n", text ? text : "null");
	free(text);
	json_decref(object);
}
