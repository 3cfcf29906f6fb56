# Without a fault every request is answered and no order runs twice.
fleet control=3 entry=3 domains=3
service forecast upstreams=4 floor=6 slots=6 latency=5
customer soum rate=200 burst=100
route ages prefix=/ages service=forecast
ready /ages
load lookups customer=soum method=GET path=/ages rate=50 for=4s
load orders customer=soum method=POST path=/ages id=yes rate=20 for=4s
expect lookups lost=0 false-refusals=0 over-rate=0 refused=0 unanswered=0
expect orders lost=0 doubled=0 false-refusals=0 unknown=0 refused=0
