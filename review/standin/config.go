//go:build review

package main

const (
	// ordinaryKey and hotKey are the keys of two tenants.
	ordinaryKey = "n2ctnfzs989anu6wsjnb"
	hotKey      = "i9n73hh2b9wu3fexd9dn"
	// config has the limits of the users' example and two tenants without an allowance.
	config = `{"version":7,"routes":[
{"name":"r-chat","host":"ficu95.example","path-prefix":"/chat/","type":"streaming","timeout-ms":15000,"target-latency-ms":1200,"priority":2,"service":"model","max-attempts":2,"public":false,"sticky":true,"resumable":true,"itl-target-ms":300},
{"name":"r-order","host":"ficu95.example","path-prefix":"/order/","type":"unsafe","timeout-ms":1000,"target-latency-ms":120,"priority":2,"service":"desk","max-attempts":1,"public":false},
{"name":"r-stock","host":"ficu95.example","path-prefix":"/stock/","type":"idempotent","timeout-ms":1000,"target-latency-ms":120,"priority":2,"service":"desk","max-attempts":2,"public":false}],
"services":[{"name":"model","health-path":"/healthz","max-conns":620,"protocol":"h1","tls":false},{"name":"desk","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"hule930","api-keys":["` + hotKey + `"]},{"name":"fida11","api-keys":["` + ordinaryKey + `"]}]}`
)
