/* Compression of protobuf messages with zstd. */
#include <zstd.h>

#include "internal.h"

enum { COMPRESSION_LEVEL = 3, MAX_DECOMPRESSED_BYTES = 256 << 20 };

GBytes *cw_message_compress(const ProtobufCMessage *message)
{
	GBytes *packed = cw_message_pack(message);
	gsize length;
	const void *data = g_bytes_get_data(packed, &length);
	size_t bound = ZSTD_compressBound(length);
	void *compressed = g_malloc(bound);
	ZSTD_CCtx *context = ZSTD_createCCtx();

	/* Decompression verifies the checksum of the frame. */
	ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
	ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
	length = ZSTD_compress2(context, compressed, bound, data, length);
	ZSTD_freeCCtx(context);
	g_bytes_unref(packed);
	return g_bytes_new_take(g_realloc(compressed, length), length);
}

void *cw_message_decompress(const ProtobufCMessageDescriptor *descriptor, const ProtobufCBinaryData *bytes)
{
	unsigned long long size = ZSTD_getFrameContentSize(bytes->data, bytes->len);
	void *message = NULL;
	uint8_t *data;

	if (size > MAX_DECOMPRESSED_BYTES) {
		cw_fail(CW_ERR_DAMAGED, "not a zstd frame, or its content size is unknown or too large");
		return NULL;
	}
	data = g_malloc(size ? size : 1);
	if (ZSTD_decompress(data, size, bytes->data, bytes->len) == size)
		message = protobuf_c_message_unpack(descriptor, NULL, size, data);
	if (!message)
		cw_fail(CW_ERR_DAMAGED, "compressed message cannot be unpacked");
	g_free(data);
	return message;
}
