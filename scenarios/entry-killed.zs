# One entry VM is killed and another is frozen; with resends each request is answered and no order runs twice.
fleet control=3 entry=5 domains=3
service forecast upstreams=4 floor=6 slots=6 latency=20
customer soum rate=200 burst=100
route ages prefix=/ages service=forecast
ready /ages
load lookups customer=soum method=GET path=/ages rate=40 for=10s
load orders customer=soum method=POST path=/ages id=yes rate=20 for=10s
wait 2s
kill entry-1
wait 2s
freeze entry-2
wait 4s
resume entry-2
expect lookups lost=0 false-refusals=0 over-rate=0 unanswered=0
expect orders lost=0 doubled=0 false-refusals=0
