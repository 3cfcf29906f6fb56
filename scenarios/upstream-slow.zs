# One upstream becomes ten times slower and another drains; every request is answered.
fleet control=3 entry=3 domains=3
service forecast upstreams=5 floor=12 slots=6 latency=20
customer soum rate=400 burst=200
route ages prefix=/ages service=forecast
ready /ages
load lookups customer=soum method=GET path=/ages rate=100 for=12s
wait 2s
upstream forecast-1 slow=10
wait 4s
upstream forecast-2 drain=true
expect lookups lost=0 refused=0 unanswered=0 over-rate=0
