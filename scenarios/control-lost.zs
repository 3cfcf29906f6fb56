# All control VMs are killed; callers within their rate are still served.
fleet control=3 entry=3 domains=3
service forecast upstreams=4 floor=6 slots=6 latency=5
customer soum rate=200 burst=100
route ages prefix=/ages service=forecast
ready /ages
kill control-1
kill control-2
kill control-3
load lookups customer=soum method=GET path=/ages rate=50 for=10s resend=no
load orders customer=soum method=POST path=/ages id=yes rate=20 for=10s
expect lookups lost=0 false-refusals=0 over-rate=0 refused=0 unanswered=0
expect orders lost=0 doubled=0 false-refusals=0 unknown=0 refused=0
