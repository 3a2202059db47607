#pragma once

#include <cstdint>
#include <span>

namespace qp::admission {

/// Memory for requests of one engine that holds the layers [first, end) of a
/// model. Tokens count as if each request used all layers of the engine.
struct EngineMemory {
  std::uint32_t first_layer = 0;
  std::uint32_t end_layer = 0;
  double capacity_tokens = 0;  ///< Tokens of requests that fit.
  double used_tokens = 0;      ///< Tokens of the requests in flight.
};

/// Memory for requests at the layer with the highest use: as much as all
/// requests of the engines can use, since each request needs every layer.
struct Room {
  double capacity_tokens = 0;
  double used_tokens = 0;
  /// Tokens in use on the most loaded engine that holds the layer.
  double largest_engine_tokens = 0;

  /// Used share of the capacity; 1 without capacity.
  double Use() const {
    return this->capacity_tokens > 0 ? this->used_tokens / this->capacity_tokens
                                     : 1.0;
  }
};

/// Computes the room of engines that together serve a model of `layers` layers.
/// The capacity is 0 if a layer is held by none of them. Engines with ranges
/// outside of the model and with values that are not finite are ignored.
Room EstimateRoom(std::uint32_t layers, std::span<const EngineMemory> engines);

}  // namespace qp::admission
