package service

import "github.com/bytedance/sonic"

// codec encodes and decodes JSON messages with the semantics of encoding/json.
// Its configuration must copy strings: the HTTP library reuses the buffers of
// the decoded bodies for the next message, so a string that pointed into one
// would change into a part of another caller's answer.
var codec = sonic.ConfigStd
