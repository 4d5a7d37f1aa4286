package service

import "github.com/bytedance/sonic"

// codec encodes and decodes JSON messages, with encoding/json's meaning. It
// must be a configuration that copies strings: the bodies decoded here lie
// in buffers that the HTTP library reuses for the next message, and a string
// that pointed into one would turn into part of another caller's answer.
var codec = sonic.ConfigStd
