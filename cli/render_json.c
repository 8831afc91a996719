/* Conversion of protobuf messages to JSON, driven by the descriptors that protobuf-c generates. */
#include "render_json.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

enum { INDENT_SPACES = 2 };

static json_t *message_to_json(const ProtobufCMessage *message);

/* Returns the lower-case name of an enum value, or its number when the value is unknown. */
static json_t *enum_to_json(const ProtobufCEnumDescriptor *descriptor, int value)
{
	const ProtobufCEnumValue *found = protobuf_c_enum_descriptor_get_value(descriptor, value);
	g_autofree char *name = NULL;

	if (!found)
		return json_integer(value);
	name = g_ascii_strdown(found->name, -1);
	return json_string(name);
}

/*
 * Returns a fixed64, which holds a hash or an identifier, as a hexadecimal string:
 * not every JSON parser preserves integers that need all 64 bits.
 */
static json_t *fixed64_to_json(uint64_t value)
{
	g_autofree char *text = g_strdup_printf("%016" PRIx64, value);

	return json_string(text);
}

/* Returns bytes as a base64 string. */
static json_t *bytes_to_json(const ProtobufCBinaryData *bytes)
{
	g_autofree char *text = g_base64_encode(bytes->data, bytes->len);

	return json_string(text);
}

/* Converts one value of a field. */
static json_t *value_to_json(const ProtobufCFieldDescriptor *field, const void *value)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_MESSAGE:
		return message_to_json(*(ProtobufCMessage *const *)value);
	case PROTOBUF_C_TYPE_STRING:
		return json_string(*(char *const *)value);
	case PROTOBUF_C_TYPE_ENUM:
		return enum_to_json(field->descriptor, *(const int *)value);
	case PROTOBUF_C_TYPE_BOOL:
		return json_boolean(*(const protobuf_c_boolean *)value);
	case PROTOBUF_C_TYPE_FIXED64:
		return fixed64_to_json(*(const uint64_t *)value);
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_INT64:
		return json_integer(*(const int64_t *)value);
	case PROTOBUF_C_TYPE_UINT32:
		return json_integer(*(const uint32_t *)value);
	case PROTOBUF_C_TYPE_INT32:
		return json_integer(*(const int32_t *)value);
	case PROTOBUF_C_TYPE_DOUBLE:
		return json_real(*(const double *)value);
	case PROTOBUF_C_TYPE_BYTES:
		return bytes_to_json(value);
	default:
		return json_null();
	}
}

/* Returns the size of an element of a repeated field, in bytes. */
static size_t element_size(const ProtobufCFieldDescriptor *field)
{
	switch (field->type) {
	case PROTOBUF_C_TYPE_MESSAGE:
	case PROTOBUF_C_TYPE_STRING:
		return sizeof(void *);
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_DOUBLE:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return sizeof(uint32_t);
	}
}

/* Converts a repeated field to an array. */
static json_t *repeated_to_json(const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	const char *base = (const char *)message;
	size_t count = *(const size_t *)(base + field->quantifier_offset);
	const char *values = *(const char *const *)(base + field->offset);
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(array, value_to_json(field, values + i * element_size(field)));
	return array;
}

/* Returns whether a field is an unset message or an unset member of a oneof. */
static bool is_absent(const ProtobufCMessage *message, const ProtobufCFieldDescriptor *field)
{
	const char *base = (const char *)message;

	if (field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF &&
	    *(const uint32_t *)(base + field->quantifier_offset) != field->id)
		return true;
	return field->type == PROTOBUF_C_TYPE_MESSAGE && !*(void *const *)(base + field->offset);
}

/* Converts a message to an object with all its fields that are set; scalars outside a oneof always are. */
static json_t *message_to_json(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;
	json_t *object = json_object();

	for (unsigned i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];

		if (field->label == PROTOBUF_C_LABEL_REPEATED)
			json_object_set_new(object, field->name, repeated_to_json(message, field));
		else if (!is_absent(message, field))
			json_object_set_new(object, field->name,
					    value_to_json(field, (const char *)message + field->offset));
	}
	return object;
}

/* Appends a message as indented JSON and a newline. */
void render_json(const ProtobufCMessage *message, GString *out)
{
	json_t *object = message_to_json(message);
	char *text = json_dumps(object, JSON_INDENT(INDENT_SPACES));

	g_string_append_printf(out, "%s\n", text ? text : "null");
	free(text);
	json_decref(object);
}
