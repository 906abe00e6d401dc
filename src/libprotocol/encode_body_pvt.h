#pragma once

#include "citroncrank/frame.h"
#include "generated/frame_generated.h"

namespace citroncrank {

/// Type tag and builder offset of an encoded body.
struct encoded_body
{
    wire::Body type = wire::Body::NONE;
    flatbuffers::Offset<void> offset;
};

/// Writes the body into the builder.
encoded_body encodeBody(const frame_body &body, flatbuffers::FlatBufferBuilder *builder);

/// Reads the body of a verified frame. Returns nullopt when the type is unknown or a field is out of range.
std::optional<frame_body> decodeBody(const wire::Frame &source);

} // namespace citroncrank
